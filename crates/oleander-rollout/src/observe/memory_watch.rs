//! Watches how much of its memory the process uses.

use crate::observe::metrics::Metrics;
use crate::prelude::*;

/// Time between two readings.
const READ_EVERY: Millis = Millis::from_secs(2);
/// Percentages of the memory at which a line is logged.
const MARKS_PERCENT: [usize; 2] = [50, 75];
/// File with the state of this process.
const STATUS_FILE: &str = "/proc/self/status";
/// Field of the memory in use, in kilobytes.
const RESIDENT_FIELD: &str = "VmRSS:";

/// Sets the gauge of the memory in use, and logs when it passes half and three quarters of
/// `memory_bytes`, until the process ends.
pub async fn run(memory_bytes: usize, metrics: Metrics) {
    let mut passed = 0;
    loop {
        sleep(READ_EVERY).await;
        let Some(resident) = resident_bytes() else {
            event(log::Level::Warn, "memory-unknown", || {
                format!("file={STATUS_FILE}")
            });
            return;
        };
        metrics.set_memory("process", resident);
        for mark in MARKS_PERCENT {
            if mark > passed && resident >= memory_bytes / 100 * mark {
                passed = mark;
                event(log::Level::Warn, "memory-passed", || {
                    format!("percent={mark} bytes={resident} of={memory_bytes}")
                });
            }
        }
    }
}

fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(RESIDENT_FIELD))?;
    let kilobytes: usize = value.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}
