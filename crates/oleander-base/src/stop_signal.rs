//! Handles the signals that stop a process.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Starts a thread that calls `stop` for each SIGTERM or SIGINT.
///
/// # Errors
///
/// The system error when the handlers or the thread can't be set up.
pub fn on_stop(stop: impl Fn() + Send + 'static) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                stop();
            }
        })?;
    Ok(())
}
