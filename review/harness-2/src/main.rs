//! Runs one case: `review-cases-2 NAME FOLDER TEMPORARY-FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in
//! the environment, the disruption is left out.

mod cases;
mod deployment;
mod engine;
mod http;
mod json;
mod lost;
mod node;
mod record;
mod relay;
mod service;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder, temporary] = args.as_slice() else {
        eprintln!("review-cases-2 NAME FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = match cases::open(&PathBuf::from(folder), &PathBuf::from(temporary), trouble) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{folder}: {error}");
            return ExitCode::from(2);
        }
    };
    let result = cases::run(name, &case);
    let took = case.record.elapsed().as_secs_f64();
    match result {
        Ok(false) => {
            case.record
                .line(&format!("the rule held; trouble={trouble} took={took:.1}s"));
            ExitCode::SUCCESS
        }
        Ok(true) => {
            case.record.line(&format!(
                "the rule was broken; trouble={trouble} took={took:.1}s"
            ));
            ExitCode::from(1)
        }
        Err(error) => {
            case.record
                .line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
