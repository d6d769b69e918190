//! Settings files: all errors are reported together, unknown keys are errors, and `--check` only
//! checks.

use oleander_daemon::agent::agent_settings::AgentConfig;
use oleander_daemon::agent::endpoint_kind::EndpointKind;
use oleander_daemon::entry::entry_settings::EntryConfig;
use oleander_daemon::settings::Settings;
use oleander_daemon::settings_errors::SettingsErrors;
use oleanderlock::prelude::*;
use std::process::{Command, Output};

const ENTRY: &str = "\
[node]
name = entry-1
failure-domain = wdh-a
http = 127.0.0.1:7080
link = tcp://127.0.0.1:7081
link-keys = new phrase, old phrase

[platform]
store = http://127.0.0.1:9000
list = http://127.0.0.1:9001
";

const ENDPOINT: &str = "
[endpoint]
kind = service
url = http://127.0.0.1:8000
targets = quote, availability
capacity = 4
drain = 1500ms
";

fn agent_text() -> String {
    format!("{ENTRY}{ENDPOINT}")
}

fn read_agent(text: &str) -> Result<AgentConfig, SettingsErrors> {
    AgentConfig::read(Settings::parse(text)?)
}

fn read_entry(text: &str) -> Result<EntryConfig, SettingsErrors> {
    EntryConfig::read(Settings::parse(text)?)
}

/// Returns the errors as lines.
fn error_lines<T: std::fmt::Debug>(read: Result<T, SettingsErrors>) -> Vec<String> {
    let faults = read.expect_err("invalid settings").errors;
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_settings_are_read_with_units_and_defaults() {
    let agent = read_agent(&agent_text()).expect("valid settings");
    assert_eq!(agent.kind, EndpointKind::Service);
    assert_eq!(agent.targets, ["quote", "availability"]);
    assert_eq!(agent.drain, Millis(1500));
    assert_eq!(agent.node.link_keys, ["new phrase", "old phrase"]);
    let entry = read_entry(ENTRY).expect("valid settings");
    assert_eq!(entry.drain, Millis::from_secs(30));
    assert!(entry.data.is_none() && entry.operator_tokens.is_empty());
}

#[test]
fn all_errors_of_a_file_are_reported_together_and_each_key_once() {
    let text = "\
[node]
http = here
link = udp://127.0.0.1:7081
traffic-threads = 0
[platform]
store = 127.0.0.1:9000
[endpoint]
kind = engin
url = http://127.0.0.1:8000
capacity = many
drain = 30
[log]
level = loud
";
    let expected = [
        "[node] name: must be set",
        "[node] failure-domain: must be set",
        "[node] http: `here` is not valid; expected IP:PORT",
        "[platform] list: must be set",
        "[log] level: `loud` is not valid; expected off, error, warn, info, debug or trace",
        "[platform] store: must have the form http://IP:PORT",
        "[node] link: must have the form tcp://IP:PORT",
        "[node] link-keys: must name at least one key",
        "[node] traffic-threads: must be at least 1",
        "[endpoint] kind: `engin` is not valid; expected engine or service",
        "[endpoint] capacity: `many` is not valid; expected a whole number above 0",
        "[endpoint] drain: `30` is not valid; expected a length such as 250ms or 5s",
        "[endpoint] targets: must name at least one model or service",
    ];
    assert_eq!(error_lines(read_agent(text)), expected);
}

#[test]
fn errors_of_unknown_and_duplicate_keys_list_the_valid_ones() {
    let text =
        format!("{ENTRY}drain = 5s\n[nodes]\nname = other\n[log]\nlevel = info\nlevel = debug\n");
    let found = error_lines(read_entry(&text));
    assert_eq!(found.len(), 3, "{found:?}");
    assert_eq!(
        found[0],
        "[platform] drain: unknown key; valid keys: list, store"
    );
    assert!(found[1].starts_with("[nodes] name: unknown section; valid sections: "));
    assert!(found[1].contains("[access], [bench], [log], [node], [platform]"));
    assert_eq!(found[2], "[log] level: is set twice");
}

#[test]
fn the_error_of_a_malformed_ini_file_has_a_line_number() {
    let found = error_lines(read_entry("[node]\nname\n"));
    assert!(found[0].starts_with("line "), "{found:?}");
}

fn check(program: &str, name: &str, text: &str) -> Output {
    let file = std::env::temp_dir().join(format!("settings-{}-{name}", std::process::id()));
    std::fs::write(&file, text).expect("written");
    let mut command = Command::new(program);
    let output = command.arg("--check").arg("--settings").arg(&file);
    let output = output.output().expect("the program is built");
    std::fs::remove_file(&file).expect("removed");
    output
}

#[test]
fn check_prints_all_errors_and_starts_nothing() {
    let programs = [
        (env!("CARGO_BIN_EXE_oleander-agent"), agent_text()),
        (env!("CARGO_BIN_EXE_oleander-entry"), ENTRY.to_owned()),
    ];
    for (program, text) in programs {
        let good = check(program, "good.ini", &text);
        assert_eq!(good.status.code(), Some(0), "{good:?}");
        assert!(String::from_utf8_lossy(&good.stdout).contains("valid"));
        let bad = text.replace("name = ", "nmae = ").replace("tcp:", "tpc:");
        let bad = check(program, "bad.ini", &bad);
        assert_eq!(bad.status.code(), Some(2), "{bad:?}");
        let stderr = String::from_utf8_lossy(&bad.stderr);
        for part in [
            "bad.ini:",
            "[node] name: must be set",
            "[node] nmae:",
            "[node] link:",
        ] {
            assert!(stderr.contains(part), "{stderr}");
        }
    }
    let missing = check_missing("/nonexistent/oleander-entry.ini");
    assert_eq!(missing.status.code(), Some(2), "{missing:?}");
}

fn check_missing(file: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleander-entry"));
    let command = command.args(["--check", "--settings", file]);
    command.output().expect("the program is built")
}
