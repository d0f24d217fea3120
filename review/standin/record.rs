//! What was sent, answered and run, and which rules were broken.

use std::{
    fs,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<(u64, String)>> = Mutex::new(Vec::new());
static BREACHES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the program.
pub fn now() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Records an event.
pub fn note(text: impl Into<String>) {
    let text = text.into();
    LINES.lock().unwrap().push((now(), text));
}

/// Records that a rule was broken.
pub fn breach(text: impl Into<String>) {
    let text = text.into();
    note(format!("BROKEN {text}"));
    BREACHES.lock().unwrap().push(text);
}

/// Returns the broken rules so far.
pub fn breaches() -> Vec<String> {
    BREACHES.lock().unwrap().clone()
}

/// Writes all events to a file.
pub fn write(path: &Path) {
    let lines = LINES.lock().unwrap();
    let mut file = fs::File::create(path).unwrap();
    let mut text = String::new();
    for (at, line) in lines.iter() {
        text.push_str(&format!("{at:>7} {line}\n"));
    }
    file.write_all(text.as_bytes()).unwrap();
}
