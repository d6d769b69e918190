//! A single-threaded task executor for each thread, with timers.

use oleanderlock::prelude::*;
use smol::future::FutureExt;
use smol::{LocalExecutor, Task, Timer};
use std::cell::OnceCell;
use std::future::Future;

thread_local! {
    static EXECUTOR: OnceCell<&'static LocalExecutor<'static>> = const { OnceCell::new() };
}

fn executor() -> &'static LocalExecutor<'static> {
    // Leaked, because spawned tasks must be 'static; a thread with an executor runs as long as the
    // process.
    EXECUTOR.with(|cell| *cell.get_or_init(|| Box::leak(Box::new(LocalExecutor::new()))))
}

/// Runs a task on the executor of this thread until it ends.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    executor().spawn(task).detach();
}

/// Runs a task on the executor of this thread; dropping the returned handle cancels it.
pub fn spawn_task(task: impl Future<Output = ()> + 'static) -> Task<()> {
    executor().spawn(task)
}

/// Runs `main` and the tasks of this thread until `main` returns, and returns its output.
pub fn run<T>(main: impl Future<Output = T>) -> T {
    smol::block_on(executor().run(main))
}

/// Suspends the task for `duration`.
pub async fn sleep(duration: Millis) {
    Timer::after(duration.into()).await;
}

/// Returns the output of `work`, or cancels it and returns `None` after `limit`.
pub async fn within<T>(limit: Millis, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        sleep(limit).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}
