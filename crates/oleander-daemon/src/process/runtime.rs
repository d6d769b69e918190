//! Threads of a process: one that owns the control state, and a fixed number for traffic.

use smol::future::FutureExt;
use std::future::Future;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;
use trillium_smol::async_global_executor::{self as executor, GlobalExecutorConfig};

/// Time between two ticks of a control thread.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Sets the number of traffic threads; later calls in the same process have no effect.
pub fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    executor::init_with_config(config);
}

/// Runs a task in the background on the traffic threads.
pub fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    executor::spawn(task).detach();
}

/// Starts a thread that calls `handle` for each event, and with `None` at each tick, until all
/// senders are dropped or `handle` returns false.
///
/// # Errors
///
/// The system error when the thread can't be started.
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
                        next_tick = std::time::Instant::now() + TICK_INTERVAL;
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

/// Time to send the buffered frames before a process ends.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Waits a fixed time for the links to send their buffered frames, which are dropped when the process
/// ends.
pub fn flush_links() {
    std::thread::sleep(FLUSH_TIME);
}

/// Returns the output of `work`, or `None` when it takes longer than `timeout_ms`.
pub async fn within<T>(timeout_ms: u64, work: impl IntoFuture<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::after(Duration::from_millis(timeout_ms)).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}
