//! Log lines on standard output, written by a thread of their own so that no task waits for it.

use log::LevelFilter;
use oleander_base::logging::unix_ms;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait to be written; more are dropped and counted.
const LINES_MAX: usize = 2048;
/// Pause between two writes, so that lines go out together.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output.
///
/// Lines start with time in milliseconds since the Unix epoch, level, node and role; the rest is
/// the event's own pairs.
///
/// # Errors
///
/// The system's fault when the thread can't be started.
pub fn start(node: &str, role: &str, level: LevelFilter) -> std::io::Result<()> {
    let (tx, rx) = sync_channel(LINES_MAX);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx))?;
    let (node, role) = (node.to_owned(), role.to_owned());
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let level = record.level();
            let time = unix_ms();
            out.finish(format_args!(
                "time={time} level={level} node={node} role={role} {message}"
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("oleander_rollout", level)
        .chain(fern::Output::call(move |record| {
            enqueue(&tx, record.args().to_string())
        }));
    // A second start in one process, as in tests, keeps the first.
    let _ = dispatch.apply();
    Ok(())
}

/// Returns how many lines were dropped because standard output did not take them in time.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn enqueue(tx: &SyncSender<String>, line: String) {
    if tx.try_send(line).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(rx: &Receiver<String>) {
    while let Ok(first) = rx.recv() {
        std::thread::sleep(WRITE_PAUSE);
        let mut buf = first;
        buf.push('\n');
        while let Ok(line) = rx.try_recv() {
            buf.push_str(&line);
            buf.push('\n');
        }
        // Nobody is left to be told when standard output is closed.
        let _ = std::io::stdout().write_all(buf.as_bytes());
    }
}
