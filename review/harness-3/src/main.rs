//! Plays one case of the third review: `review-3 CASE`, in the folder of the case.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod deployment;
mod engine;
mod http;
mod lost;
mod record;
mod trainer;

use record::Record;
use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create("record.txt");
    record.line(&format!("case {case} trouble={trouble}"));
    let verdict = match case.as_str() {
        "11" => cases::engine_lost::play(&record, trouble),
        "12" => cases::leader_change::play(&record, trouble),
        "13" => cases::planned_stop::play(&record, trouble),
        "14" => cases::route_moved::play(&record, trouble),
        "15" => cases::route_removed::play(&record, trouble),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    let (status, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken(reason) => (1, format!("broken: {reason}")),
        Verdict::NotRun(reason) => (2, format!("not run: {reason}")),
    };
    record.line(&format!("verdict {text}"));
    println!("{text}");
    ExitCode::from(status)
}
