//! Tasks of one thread, and time limits for them.

use oleanderlock::prelude::*;
use smol::future::FutureExt;
use smol::{LocalExecutor, Task, Timer};
use std::cell::OnceCell;
use std::future::Future;

thread_local! {
    static EXECUTOR: OnceCell<&'static LocalExecutor<'static>> = const { OnceCell::new() };
}

fn executor() -> &'static LocalExecutor<'static> {
    // One executor lives as long as its thread, which lives as long as the process.
    EXECUTOR.with(|cell| *cell.get_or_init(|| Box::leak(Box::new(LocalExecutor::new()))))
}

/// Runs a task on the executor of this thread.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    executor().spawn(task).detach();
}

/// Runs a task on the executor of this thread; dropping the handle cancels it.
pub fn spawn_task(task: impl Future<Output = ()> + 'static) -> Task<()> {
    executor().spawn(task)
}

/// Runs the tasks of this thread until `main` ends.
pub fn run<T>(main: impl Future<Output = T>) -> T {
    smol::block_on(executor().run(main))
}

/// Waits.
pub async fn sleep(length: Millis) {
    Timer::after(length.into()).await;
}

/// Returns the output of `work`, or `None` when it takes longer than `limit`.
pub async fn within<T>(limit: Millis, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        sleep(limit).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}
