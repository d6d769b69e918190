//! Structured logs: one line of key=value pairs for each event.

use log::LevelFilter;
use std::time::SystemTime;

/// Starts logging to standard error.
///
/// Lines start with the time in milliseconds since the Unix epoch, the level and the process name,
/// followed by the pairs of the event, for example `event=refused request=… kind=overloaded`.
pub fn start(process: &str, level: LevelFilter) {
    let process = process.to_owned();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let level = record.level();
            let time = unix_ms();
            out.finish(format_args!(
                "time={time} level={level} process={process} {message}"
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("oleander_daemon", level)
        .level_for("oleander_link", level)
        .chain(std::io::stderr());
    // Tests start several daemons in one process; the first logger stays in place.
    let _ = dispatch.apply();
}

/// Returns the wall time in milliseconds since the Unix epoch; 0 before it.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |passed| {
            u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
        })
}
