//! Processor time and memory of this process, from the kernel's files.

use std::fs;

/// Clock ticks a second in `/proc/self/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time behind the command name.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time used so far, in seconds.
pub fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory in KiB.
pub fn resident_kib() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field
        .and_then(|field| field.parse().ok())
        .unwrap_or_default()
}
