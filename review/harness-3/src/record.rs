//! The file that says what was sent, answered and run.

use parking_lot::Mutex;
use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The record of a case; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("a record"))),
        }
    }

    /// Returns the time since the case began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        // A record that can't be written shows in the missing verdict.
        let _ = writeln!(self.file.lock(), "{at:9.3} {text}");
    }
}
