//! What the daemons' log lines tell of one request, target or key.
//!
//! Lines are JSON objects with `time_ms`, `message` and fields of their own; `docs/OPERATIONS.md`
//! has the table. They are put in the order of their times over all files.

use std::{
    fmt::{self, Display, Write},
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{context::Context, error::Error, grid::count, page::Page};

/// Fields that say when and where a line was written.
const FRAME: [&str; 4] = ["time_ms", "level", "module", "message"];
/// Time around a request's lines in which lines about its targets belong to its story, in
/// milliseconds: a crash or a move is known within it.
const AROUND_MS: u64 = 4_000;

/// What is looked for.
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

/// Lines of all sources.
#[derive(Debug, Default)]
struct Log {
    lines: Vec<Line>,
    /// Lines of other programs.
    foreign: usize,
    /// Lines that begin as JSON and can't be read.
    damaged: usize,
}

/// Tells the story of a request, a target or a key from log lines.
pub(crate) fn tell(context: &Context, subject: &Subject) -> Result<Page, Error> {
    let mut log = Log::default();
    for path in context.words {
        let file = File::open(path).map_err(|cause| file_error(path, cause))?;
        log.read(path, BufReader::new(file))
            .map_err(|cause| file_error(path, cause))?;
    }
    if context.words.is_empty() {
        log.read("stdin", io::stdin().lock())
            .map_err(|cause| file_error("stdin", cause))?;
    }
    let story = log.story(subject);
    if story.is_empty() {
        let total = log.lines.len() + log.foreign + log.damaged;
        return Err(Error::Absent {
            what: format!("no line is about {subject}"),
            hint: format!(
                "{} read, {}; check the id and give the files of all daemons",
                count(total, "line"),
                log.passed_over()
            ),
        });
    }
    let mut text = render(&story);
    if log.foreign + log.damaged > 0 {
        let _ = writeln!(text, "passed over: {}", log.passed_over());
    }
    Ok(Page::new(text, story))
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
    fn is_in(&self, line: &Line) -> bool {
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
            // A prefix, such as the name and time that a log collector puts in front, is kept.
            let Some(start) = text.find('{') else {
                self.foreign += usize::from(!text.trim().is_empty());
                continue;
            };
            let (prefix, json) = text.split_at(start);
            match serde_json::from_str::<Map<String, Value>>(json.trim_end()) {
                Ok(fields) => self.add(source, prefix, fields),
                Err(_) => self.damaged += 1,
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

    fn passed_over(&self) -> String {
        let (foreign, damaged) = (self.foreign, self.damaged);
        let damaged = count(damaged, "damaged line");
        format!("{} of other programs, {damaged}", count(foreign, "line"))
    }

    /// Returns the lines about a subject, and for a request those about its targets near it.
    fn story(&self, subject: &Subject) -> Vec<&Line> {
        let own: Vec<&Line> = self.lines.iter().filter(|l| subject.is_in(l)).collect();
        let targets: Vec<&str> = own.iter().filter_map(|line| line.text("target")).collect();
        let from = own.iter().map(|line| line.time_ms).min();
        let to = own.iter().map(|line| line.time_ms).max();
        let is_near = |line: &Line| {
            let around = from.zip(to).is_some_and(|(from, to)| {
                line.time_ms + AROUND_MS >= from && line.time_ms <= to + AROUND_MS
            });
            let concerns = |id: &str| targets.contains(&id);
            let is_other = line.text("request").is_none();
            is_other && around && line.text("target").is_some_and(concerns)
        };
        let is_request = matches!(subject, Subject::Request(_));
        let is_told = |line: &&Line| subject.is_in(line) || is_request && is_near(line);
        let mut story: Vec<&Line> = self.lines.iter().filter(is_told).collect();
        story.sort_by_key(|line| line.time_ms);
        story
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

/// Writes a line for each, with the time since the first.
fn render(story: &[&Line]) -> String {
    let first = story.first().map_or(0, |line| line.time_ms);
    let mut text = String::new();
    for line in story {
        let message = line.text("message").unwrap_or_default();
        let _ = write!(
            text,
            "{:>7} ms  {}  {message}",
            line.time_ms - first,
            line.source
        );
        let told = line.fields.iter();
        for (name, value) in told.filter(|(name, _)| !FRAME.contains(&name.as_str())) {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(text, "  {name}={value}");
        }
        text.push('\n');
    }
    text
}
