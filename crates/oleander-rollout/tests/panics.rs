//! Panics: a process that can't do its work ends, so that it is started again.

use oleander_rollout::runtime::{self, PANIC_EXIT_CODE, sleep, spawn, spawn_thread};
use oleanderlock::prelude::*;
use std::process::{Command, Stdio};

/// Variable that names what panics in a test that runs itself as another process.
const VARIABLE: &str = "OLEANDER_TEST_PANIC";
/// Time after which the process ends by itself, if the panic doesn't end it.
const LIFETIME: Millis = Millis::from_secs(5);

/// Runs one test of this file in a process of its own; returns its exit code.
fn exit_code(test: &str) -> Option<i32> {
    let program = std::env::current_exe().expect("the program of the tests");
    let mut command = Command::new(program);
    let command = command
        .args(["--exact", test])
        .env(VARIABLE, test)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command.status().expect("a process").code()
}

fn is_child() -> bool {
    std::env::var_os(VARIABLE).is_some()
}

// Guards against an agent that looks alive and asks for no work: the task that asks had panicked.
#[test]
fn a_task_that_panics_ends_the_process() {
    if !is_child() {
        let code = exit_code("a_task_that_panics_ends_the_process");
        assert_eq!(code, Some(PANIC_EXIT_CODE));
        return;
    }
    runtime::run(async {
        spawn(async { panic!("a task") });
        sleep(LIFETIME).await;
    });
    std::process::exit(0);
}

// Guards against a process whose copy of the store grows old: the thread that follows the store had
// panicked.
#[test]
fn a_thread_that_panics_ends_the_process() {
    if !is_child() {
        let code = exit_code("a_thread_that_panics_ends_the_process");
        assert_eq!(code, Some(PANIC_EXIT_CODE));
        return;
    }
    let thread = spawn_thread("panics", || panic!("a thread")).expect("a thread");
    std::thread::sleep(LIFETIME.into());
    drop(thread);
    std::process::exit(0);
}
