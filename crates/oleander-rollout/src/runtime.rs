//! A single-threaded task executor for each thread, with timers.

use crate::observe::event_log::event;
use oleanderlock::prelude::*;
use smol::future::FutureExt as _;
use smol::{LocalExecutor, Task, Timer};
use std::cell::OnceCell;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::JoinHandle;

/// Exit status of a process that ends because of a panic, as that of a panic in a main thread.
pub const PANIC_EXIT_CODE: i32 = 101;

thread_local! {
    static EXECUTOR: OnceCell<&'static LocalExecutor<'static>> = const { OnceCell::new() };
}

fn executor() -> &'static LocalExecutor<'static> {
    // Leaked, because spawned tasks must be 'static; a thread with an executor runs as long as the
    // process.
    EXECUTOR.with(|cell| *cell.get_or_init(|| Box::leak(Box::new(LocalExecutor::new()))))
}

/// Time that the log writer gets for the last lines before a process ends because of a panic.
const LOG_FLUSH_DELAY: Millis = Millis(200);

/// Runs a task on the executor of this thread until it ends. If it panics, the process ends: without
/// the task it would look alive and not do its work.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    let guarded = async {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            end_process("task-panicked");
        }
    };
    executor().spawn(guarded).detach();
}

/// Starts a thread; if it panics, the process ends.
///
/// # Errors
///
/// The error of the operating system if the thread can't be started.
pub fn spawn_thread(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    let guarded = move || {
        if catch_unwind(AssertUnwindSafe(body)).is_err() {
            end_process("thread-panicked");
        }
    };
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(guarded)
}

/// Ends the process after a panic, whose message and place are on standard error.
fn end_process(kind: &'static str) -> ! {
    event(log::Level::Error, kind, || {
        let thread = std::thread::current();
        format!("thread={}", thread.name().unwrap_or("unnamed"))
    });
    std::thread::sleep(LOG_FLUSH_DELAY.into());
    std::process::exit(PANIC_EXIT_CODE)
}

/// Runs a task on the executor of this thread; dropping the returned handle cancels it. A panic of the
/// task ends only the task.
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
