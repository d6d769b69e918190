//! Log output on standard output. A separate thread writes it, so that no task blocks on the
//! output.

use crate::runtime::spawn_thread;
use log::LevelFilter;
use oleander_base::logging::unix_ms;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Most lines that wait to be written; more are dropped and counted.
const QUEUED_LINES_MAX: usize = 2048;
/// Delay after the first line of a batch, so that lines are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard output.
///
/// Each line starts with the time in milliseconds since the Unix epoch, level, node and role.
///
/// # Errors
///
/// The error of the operating system when the thread can't be started.
pub fn start(node: &str, role: &str, level: LevelFilter) -> std::io::Result<()> {
    let (tx, rx) = sync_channel(QUEUED_LINES_MAX);
    spawn_thread("log", move || write_lines(&rx))?;
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
    // A second call in the same process, as in tests, leaves the first logger in place.
    let _ = dispatch.apply();
    Ok(())
}

/// Returns how many lines were dropped because the queue of the writer thread was full.
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
        std::thread::sleep(BATCH_DELAY);
        let mut buf = first;
        buf.push('\n');
        while let Ok(line) = rx.try_recv() {
            buf.push_str(&line);
            buf.push('\n');
        }
        // When standard output is closed, the error can't be reported anywhere.
        let _ = std::io::stdout().write_all(buf.as_bytes());
    }
}
