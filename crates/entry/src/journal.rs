//! Logs as JSON lines, written by a thread of their own so that they delay no request.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use crate::clock;

/// Lines that wait to be written. Further ones are dropped and counted.
const MOST_LINES: usize = 4_096;
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
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(output))
        .format(|out, record| writeln!(out, "{}", line(record)))
        .init();
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
