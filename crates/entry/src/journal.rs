//! Logs as JSON lines, written by a thread of their own so that they delay no request.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use crate::clock;

/// Lines that wait to be written. Further ones are dropped and counted.
const MOST_LINES: usize = 4_096;
/// Lines of one message that are written in a second. Failures have more than the rest.
const MOST_NOTES: u32 = 40;
const MOST_FAILURES: u32 = 150;
/// Length of the window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Pause between two writes, so that many lines share one.
const PAUSE: Duration = Duration::from_millis(50);

/// Hands lines to the writing thread.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts to write logs to standard output.
pub fn start() {
    let (lines, queue) = sync_channel(MOST_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let count = dropped.clone();
    thread::spawn(move || drain(&queue, &count));
    let output = Box::new(Queue { lines, dropped });
    let limiter = Limiter::default();
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(output))
        .format(move |out, record| match limiter.admit(record) {
            Decision::Write => writeln!(out, "{}", line(record)),
            Decision::WriteAfterSummary(left_out) => {
                let message = record.args().as_str().unwrap_or_default();
                let note = serde_json::json!({
                    "time_ms": clock::wall_ms(), "level": "INFO", "module": module_path!(),
                    "message": "lines left out", "of": message, "lines": left_out,
                });
                writeln!(out, "{note}\n{}", line(record))
            }
            Decision::Suppress => Ok(()),
        })
        .init();
}

/// What happens to a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is written.
    Write,
    /// It is written, after a note on how many of its kind were left out before.
    WriteAfterSummary(u32),
    /// It is left out and counted.
    Suppress,
}

/// Bounds the lines of each message, so that an overload can't flood the log.
#[derive(Debug, Default)]
pub struct Limiter(Mutex<BTreeMap<&'static str, Window>>);

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    began_ms: u64,
    lines: u32,
    left_out: u32,
}

impl Limiter {
    /// Decides about a line by its message.
    pub fn admit(&self, record: &log::Record<'_>) -> Decision {
        let Some(message) = record.args().as_str() else {
            return Decision::Write;
        };
        let most = match record.level() <= log::Level::Warn {
            true => MOST_FAILURES,
            false => MOST_NOTES,
        };
        self.count(clock::wall_ms(), message, most)
    }

    /// Counts a line of a message at a time, of which `most` are written in a second.
    pub fn count(&self, now_ms: u64, message: &'static str, most: u32) -> Decision {
        let mut windows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(message).or_default();
        let mut left_out = 0;
        if now_ms.abs_diff(window.began_ms) >= WINDOW_MS {
            left_out = window.left_out;
            *window = Window {
                began_ms: now_ms,
                ..Window::default()
            };
        }
        if window.lines >= most {
            window.left_out += 1;
            return Decision::Suppress;
        }
        window.lines += 1;
        match left_out {
            0 => Decision::Write,
            left_out => Decision::WriteAfterSummary(left_out),
        }
    }
}

fn drain(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut batch = first;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"message\":\"lines dropped\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        if io::stdout().write_all(&batch).is_err() {
            return;
        }
        thread::sleep(PAUSE);
    }
}

/// Returns a record as one JSON object.
pub fn line(record: &log::Record<'_>) -> serde_json::Value {
    let mut line = serde_json::Map::new();
    line.insert("time_ms".to_owned(), clock::wall_ms().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut Fields(&mut line));
    serde_json::Value::Object(line)
}

struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
