//! Logging as JSON lines, which a separate thread writes so that they delay no request.

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

/// Largest number of lines that wait to be written. Further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Largest number of lines of one message that are written in a window, below warning level.
const MAX_INFO_LINES: u32 = 40;
/// Largest number of lines of one message that are written in a window, for warnings and errors.
const MAX_WARNING_LINES: u32 = 150;
/// Log target of lines whose number is not limited: those about moves of keys, of which none may be missing
/// when an owner is looked for.
pub const AUDIT: &str = "ragwortrill_entry::audit";
/// Length of the window in which the lines of a message are counted.
const WINDOW_MS: u64 = 1_000;
/// Interval between two writes, so that many lines share one.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Passes lines to the writing thread.
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

/// Installs the logger, which writes to standard output.
pub fn start() {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
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
            Decision::WriteAfterSummary(suppressed) => {
                let message = record.args().as_str().unwrap_or_default();
                let summary = serde_json::json!({
                    "time_ms": clock::wall_ms(), "level": "INFO", "module": module_path!(),
                    "message": "lines left out", "of": message, "lines": suppressed,
                });
                writeln!(out, "{summary}\n{}", line(record))
            }
            Decision::Suppress => Ok(()),
        })
        .init();
}

/// Decision about a line of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The line is written.
    Write,
    /// The line is written after one with the number of suppressed lines of the same message.
    WriteAfterSummary(u32),
    /// The line is suppressed and counted.
    Suppress,
}

/// Limits the lines per message and window, so that an overload can't flood the log.
#[derive(Debug, Default)]
pub struct Limiter(Mutex<BTreeMap<&'static str, Window>>);

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_ms: u64,
    lines: u32,
    suppressed: u32,
}

impl Limiter {
    /// Counts a line and decides whether it is written. Lines of the target [`AUDIT`] and messages with
    /// arguments are not limited.
    pub fn admit(&self, record: &log::Record<'_>) -> Decision {
        if record.target() == AUDIT {
            return Decision::Write;
        }
        let Some(message) = record.args().as_str() else {
            return Decision::Write;
        };
        let max_lines = match record.level() <= log::Level::Warn {
            true => MAX_WARNING_LINES,
            false => MAX_INFO_LINES,
        };
        self.count(clock::wall_ms(), message, max_lines)
    }

    /// Counts a line of a message at a time. At most `max_lines` are written in a window.
    pub fn count(&self, now_ms: u64, message: &'static str, max_lines: u32) -> Decision {
        let mut windows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(message).or_default();
        let mut suppressed = 0;
        if now_ms.abs_diff(window.started_ms) >= WINDOW_MS {
            suppressed = window.suppressed;
            *window = Window {
                started_ms: now_ms,
                ..Window::default()
            };
        }
        if window.lines >= max_lines {
            window.suppressed += 1;
            return Decision::Suppress;
        }
        window.lines += 1;
        match suppressed {
            0 => Decision::Write,
            suppressed => Decision::WriteAfterSummary(suppressed),
        }
    }
}

fn drain(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut batch = first;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let summary = format!(
                "{{\"level\":\"WARN\",\"message\":\"lines dropped\",\"lines\":{dropped_lines}}}\n"
            );
            batch.extend_from_slice(summary.as_bytes());
        }
        if io::stdout().write_all(&batch).is_err() {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

/// Converts a record to one JSON object.
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
