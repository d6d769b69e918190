//! Threads of a process: one for control state, a fixed number for traffic.

use std::future::Future;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;
use trillium_smol::async_global_executor::{self as executor, GlobalExecutorConfig};

/// Time between two ticks of a control thread.
const TICK: Duration = Duration::from_millis(20);

/// Fixes the number of traffic threads; only the first call in a process counts.
pub fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    executor::init_with_config(config);
}

/// Runs a task on the traffic threads.
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    executor::spawn(task).detach();
}

/// Runs `handle` on a thread of its own for each event, and with `None` at each tick, until all
/// senders are gone or `handle` returns false.
///
/// # Errors
///
/// The system's fault when it can't start a thread.
pub fn spawn_control<T: Send + 'static>(
    events: Receiver<T>,
    mut handle: impl FnMut(Option<T>) -> bool + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let mut next_tick = std::time::Instant::now();
            loop {
                let wait = next_tick.saturating_duration_since(std::time::Instant::now());
                let event = match events.recv_timeout(wait) {
                    Ok(event) => Some(event),
                    Err(RecvTimeoutError::Timeout) => {
                        next_tick = std::time::Instant::now() + TICK;
                        None
                    }
                    Err(RecvTimeoutError::Disconnected) => return,
                };
                if !handle(event) {
                    return;
                }
            }
        })
}
