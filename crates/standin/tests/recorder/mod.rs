//! Records a session as text: frames, log records and answers in order of time.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, rc::Rc};

use ragwortrill_core::{
    event::Message,
    process::Process,
    record::Record,
    time::{Instant, Span},
};
use ragwortrill_standin::world::World;
use ragwortrill_wire::{Frame, decode, encode};

/// Interval at which new log records and answers are recorded.
const STEP: Span = Span::from_millis(1);
/// Length to which the text of a log record is truncated, in characters.
const MAX_RECORD_CHARS: usize = 200;

/// Messages between nodes, as encoded frames.
#[derive(Default)]
struct Frames {
    lines: Vec<String>,
    last: BTreeMap<(String, String, &'static str), String>,
    counts: BTreeMap<&'static str, (u64, u64)>,
    first: BTreeMap<&'static str, String>,
}

/// Runs a world and records its session.
pub struct Recorder {
    pub world: World,
    frames: Rc<RefCell<Frames>>,
    text: String,
    records: usize,
    /// Time of the latest recorded answer to each call.
    answered: BTreeMap<usize, Instant>,
}

impl Recorder {
    /// Starts the recording of a world.
    pub fn new(mut world: World) -> Self {
        let frames = Rc::new(RefCell::new(Frames::default()));
        let recorded_frames = frames.clone();
        world.observe(Box::new(move |now, from, to, message| {
            recorded_frames
                .borrow_mut()
                .record_message(now, from, to, message);
        }));
        let records = world.log.entries().len();
        let text = String::new();
        Self {
            world,
            frames,
            text,
            records,
            answered: BTreeMap::new(),
        }
    }

    /// Runs the world for a time in milliseconds, recorded under a heading.
    pub fn run(&mut self, heading: &str, millis: u64) {
        let _ = writeln!(self.text, "\n# {heading}");
        let end = self.world.now() + Span::from_millis(millis);
        while self.world.now() < end {
            self.world.run(STEP);
            for line in std::mem::take(&mut self.frames.borrow_mut().lines) {
                self.text.push_str(&line);
            }
            self.record_log_entries();
            self.record_answers();
        }
    }

    /// Returns the recorded text with a summary of all frames.
    pub fn text(&self) -> String {
        let mut text = self.text.trim_start().to_owned();
        let frames = self.frames.borrow();
        let _ = writeln!(text, "\n# all frames");
        for (kind, (count, bytes)) in &frames.counts {
            let first = &frames.first[kind];
            let _ = writeln!(
                text,
                "{kind}: {count} frames, {bytes} bytes, the first {first}"
            );
        }
        text
    }

    fn record_log_entries(&mut self) {
        let now = millis(self.world.now());
        for (index, entry) in self
            .world
            .log
            .entries()
            .iter()
            .enumerate()
            .skip(self.records)
        {
            let record = describe(&entry.record);
            let (actor, reason) = (&entry.actor, &entry.reason);
            let offset = index + 1;
            let _ = writeln!(
                self.text,
                "{now} log {offset}: {actor}: {record} ({reason})"
            );
        }
        self.records = self.world.log.entries().len();
    }

    fn record_answers(&mut self) {
        let calls = self.world.calls().iter().enumerate();
        let mut answers: Vec<_> = calls
            .filter_map(|(number, call)| Some((call.answer?, number, call)))
            .filter(|((at, _), number, _)| self.answered.get(number) != Some(at))
            .collect();
        answers.sort_by_key(|((at, _), number, _)| (*at, *number));
        for ((at, answer), number, call) in answers {
            let (now, service, runs) = (millis(at), &call.service, call.runs.len());
            let attempt = call.attempts;
            let _ = writeln!(
                self.text,
                "{now} caller: {service} {number}, attempt {attempt}: {answer:?}, runs {runs}"
            );
            self.answered.insert(number, at);
        }
    }
}

impl Frames {
    /// Encodes and decodes a message, and records it unless it repeats the previous one of its kind
    /// between the same processes.
    fn record_message(&mut self, now: Instant, from: &Process, to: &Process, message: &Message) {
        let bytes = encode(&Frame::Control(message.clone())).expect("the frame is small enough");
        let decoded = decode(&bytes).expect("the frame is valid");
        assert_eq!(decoded, Frame::Control(message.clone()));
        let (kind, text) = match message {
            Message::Heartbeat { epochs, .. } => ("heartbeat", format!("holds {epochs:?}")),
            Message::Promise {
                requested,
                withheld,
                ..
            } => (
                "promise",
                format!("asked {requested:?}, withheld {withheld:?}"),
            ),
            Message::Fetch { offset, .. } => ("fetch", format!("after {offset}")),
        };
        let count = self.counts.entry(kind).or_default();
        count.0 += 1;
        count.1 += bytes.len() as u64;
        let first = || bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.first.entry(kind).or_insert_with(first);
        let key = (from.to_string(), to.to_string(), kind);
        if self.last.get(&key) != Some(&text) {
            let line = format!("{} {from} -> {to}: {kind} {text}\n", millis(now));
            self.lines.push(line);
            self.last.insert(key, text);
        }
    }
}

fn describe(record: &Record) -> String {
    let text = match record {
        Record::Table { base, table } => {
            let slots = table.services.values().next().map_or(0, |row| row.slots);
            format!("Table from version {base}, {slots} slots")
        }
        other => format!("{other:?}"),
    };
    text.chars().take(MAX_RECORD_CHARS).collect()
}

fn millis(now: Instant) -> String {
    format!("{:>9.3} ms", now.0 as f64 / 1e3)
}
