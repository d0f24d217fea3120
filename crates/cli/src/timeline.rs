//! Search of the daemons' log lines for one request, target or key.
//!
//! Lines are JSON objects with `time_ms`, `message` and further fields, which `docs/OPERATIONS.md`
//! lists. Lines of all files are merged in order of time.

use std::{
    fmt::{self, Display, Write},
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{context::Context, error::Error, grid::count, output::Output};

/// Fields of every line, which are not printed as `name=value`.
const COMMON_FIELDS: [&str; 4] = ["time_ms", "level", "module", "message"];

/// Lines about a request's targets are included if they were written at most this long before or
/// after the request's own lines. The daemons log a crash of a target or a move of its keys within
/// this time.
const CONTEXT_WINDOW_MS: u64 = 4_000;

/// Request, target or key to search for.
#[derive(Clone, Debug)]
pub(crate) enum Subject {
    Request(String),
    Target(String),
    Key { service: String, key: u64 },
}

/// A log line.
#[derive(Clone, Debug, Serialize)]
struct Line {
    source: String,
    time_ms: u64,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Lines of all files.
#[derive(Debug, Default)]
struct Log {
    lines: Vec<Line>,
    /// Number of skipped lines that other programs wrote.
    foreign: usize,
    /// Number of skipped lines that begin like a JSON object and can't be parsed.
    malformed: usize,
}

/// Shows the log lines about a request, a target or a key in order of time.
pub(crate) fn show(context: &Context, subject: &Subject) -> Result<Output, Error> {
    let mut log = Log::default();
    for path in context.positionals {
        let file = File::open(path).map_err(|cause| file_error(path, cause))?;
        log.read(path, BufReader::new(file))
            .map_err(|cause| file_error(path, cause))?;
    }
    if context.positionals.is_empty() {
        log.read("stdin", io::stdin().lock())
            .map_err(|cause| file_error("stdin", cause))?;
    }
    let timeline = log.timeline(subject);
    if timeline.is_empty() {
        let total = log.lines.len() + log.foreign + log.malformed;
        return Err(Error::Absent {
            what: format!("no log line is about {subject}"),
            hint: format!(
                "{} read, skipped {}; check the id and give the files of all daemons",
                count(total, "line"),
                log.describe_skipped()
            ),
        });
    }
    let mut text = render(&timeline);
    if log.foreign + log.malformed > 0 {
        let _ = writeln!(text, "skipped: {}", log.describe_skipped());
    }
    Ok(Output::new(text, timeline))
}

fn file_error(path: &str, cause: io::Error) -> Error {
    Error::File {
        path: Path::new(path).to_owned(),
        cause,
    }
}

impl Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(id) => write!(f, "request {id}"),
            Self::Target(id) => write!(f, "target {id}"),
            Self::Key { service, key } => write!(f, "key {key} of {service}"),
        }
    }
}

impl Subject {
    fn matches(&self, line: &Line) -> bool {
        match self {
            Self::Request(id) => line.text("request") == Some(id),
            Self::Target(id) => line.text("target") == Some(id) || line.text("from") == Some(id),
            Self::Key { service, key } => {
                let has = |first: u64, last: u64| first <= *key && *key <= last;
                let range = line.number("first").zip(line.number("last"));
                line.text("service") == Some(service)
                    && range.is_some_and(|(first, last)| has(first, last))
            }
        }
    }
}

impl Log {
    fn read(&mut self, source: &str, lines: impl BufRead) -> io::Result<()> {
        for line in lines.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            // A prefix, such as the name and time that a log collector adds, is kept as the source.
            let Some(start) = text.find('{') else {
                self.foreign += usize::from(!text.trim().is_empty());
                continue;
            };
            let (prefix, json) = text.split_at(start);
            match serde_json::from_str::<Map<String, Value>>(json.trim_end()) {
                Ok(fields) => self.add(source, prefix, fields),
                Err(_) => self.malformed += 1,
            }
        }
        Ok(())
    }

    fn add(&mut self, source: &str, prefix: &str, fields: Map<String, Value>) {
        let time_ms = fields.get("time_ms").and_then(Value::as_u64);
        let Some(time_ms) = time_ms.filter(|_| fields.contains_key("message")) else {
            self.foreign += 1;
            return;
        };
        let source = match prefix.trim() {
            "" => source.to_owned(),
            prefix => prefix.to_owned(),
        };
        self.lines.push(Line {
            source,
            time_ms,
            fields,
        });
    }

    fn describe_skipped(&self) -> String {
        let (foreign, malformed) = (self.foreign, self.malformed);
        let malformed = count(malformed, "malformed line");
        format!("{} of other programs, {malformed}", count(foreign, "line"))
    }

    /// Returns the lines about a subject in order of time. For a request, lines about its targets
    /// within [`CONTEXT_WINDOW_MS`] are included.
    fn timeline(&self, subject: &Subject) -> Vec<&Line> {
        let own: Vec<&Line> = self.lines.iter().filter(|l| subject.matches(l)).collect();
        let targets: Vec<&str> = own.iter().filter_map(|line| line.text("target")).collect();
        let from = own.iter().map(|line| line.time_ms).min();
        let to = own.iter().map(|line| line.time_ms).max();
        let is_near = |line: &Line| {
            let is_in_window = from.zip(to).is_some_and(|(from, to)| {
                line.time_ms + CONTEXT_WINDOW_MS >= from && line.time_ms <= to + CONTEXT_WINDOW_MS
            });
            let is_own_target = |id: &str| targets.contains(&id);
            let has_no_request = line.text("request").is_none();
            has_no_request && is_in_window && line.text("target").is_some_and(is_own_target)
        };
        let is_request = matches!(subject, Subject::Request(_));
        let is_included = |line: &&Line| subject.matches(line) || is_request && is_near(line);
        let mut timeline: Vec<&Line> = self.lines.iter().filter(is_included).collect();
        timeline.sort_by_key(|line| line.time_ms);
        timeline
    }
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }
}

/// Formats the lines, each with the time since the first.
fn render(timeline: &[&Line]) -> String {
    let first = timeline.first().map_or(0, |line| line.time_ms);
    let mut text = String::new();
    for line in timeline {
        let message = line.text("message").unwrap_or_default();
        let _ = write!(
            text,
            "{:>7} ms  {}  {message}",
            line.time_ms - first,
            line.source
        );
        let fields = line.fields.iter();
        for (name, value) in fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str())) {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(text, "  {name}={value}");
        }
        text.push('\n');
    }
    text
}
