//! Signals that reach a process while it starts.

mod support;

use std::fs;
use std::process::Command;
use std::thread;
use std::time::Duration;
use support::node::Node;
use support::wait_for;

/// Time within which a process waits for its settings.
const START_TIME: Duration = Duration::from_millis(500);

#[test]
fn a_process_that_is_told_to_stop_while_it_reads_its_settings_stops_by_itself() {
    let anywhere = "127.0.0.1:9".parse().expect("an address");
    for role in ["entry", "dispatcher"] {
        let mut node = Node::new("early", role, anywhere, None);
        let settings = node.settings();
        let pipe = std::env::temp_dir().join(format!("early-{role}-{}", std::process::id()));
        let made = Command::new("mkfifo").arg(&pipe).status();
        assert!(made.expect("mkfifo runs").success());
        node.start_on_file(pipe.clone());
        thread::sleep(START_TIME);
        node.process().signal("TERM");
        thread::sleep(START_TIME);
        // A process that the signal itself has ended reads no settings.
        node.expect_running();
        fs::write(&pipe, &settings).expect("the process reads its settings");
        // Later reads of the file must not wait for a writer.
        let file = pipe.with_extension("ini");
        fs::write(&file, &settings).expect("settings are written");
        fs::rename(&file, &pipe).expect("the pipe is replaced");
        let process = node.process.as_mut().expect("a started process");
        let mut code = None;
        wait_for("the process ends", || {
            code = process.exit_code();
            code.is_some()
        });
        assert_eq!(code, Some(0), "{role}: {}", process.log());
        fs::remove_file(&pipe).expect("the file is there");
    }
}
