//! Memory and processor time of this process, as reported by the kernel.

use std::fs;

/// Page size of the machines that the system runs on.
const PAGE_BYTES: f64 = 4096.0;

/// Rate of the clock ticks in which the kernel counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Returns the resident memory.
pub fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the processor time that this process has used in user and kernel mode.
pub fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}
