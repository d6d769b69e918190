//! The record of a run: one line for each thing that a client, server or the platform has seen.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the variable `CASE_DIR` names.
    pub fn create() -> Self {
        let dir = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(format!("{dir}/record.txt")).expect("a record file");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("the record");
        file.write_all(line.as_bytes()).expect("a written line");
    }
}

/// Whether the run includes the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case, which returns how the rule was broken, and ends the program: with 1 if the rule was
/// broken, 0 if it held, 2 if the case couldn't run.
pub fn run(case: fn(&Record) -> Vec<String>) -> ! {
    let record = Record::create();
    // A case that can't run panics, so that its processes are ended on the way.
    let result = std::panic::catch_unwind(|| case(&record));
    let code = match result {
        Ok(broken) => {
            for text in &broken {
                record.line(&format!("BROKEN {text}"));
                println!("broken: {text}");
            }
            i32::from(!broken.is_empty())
        }
        Err(_) => 2,
    };
    record.line(&format!("exit {code}"));
    println!("exit {code}");
    std::process::exit(code)
}
