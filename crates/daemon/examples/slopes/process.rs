//! Memory and processor time of this process, as the kernel counts them.

use std::fs;

/// Bytes in a page of memory on the machines that the system runs on.
const PAGE_BYTES: f64 = 4096.0;

/// Clock ticks in a second, by which the kernel counts processor time.
const TICKS: f64 = 100.0;

/// Returns the resident memory in bytes.
pub fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the processor time that this process has used, in seconds.
pub fn cpu() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum();
    ticks / TICKS
}
