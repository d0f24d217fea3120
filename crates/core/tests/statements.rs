//! Targets that state that they leave, or for how long they want nothing: which run of a target a
//! statement holds for, and what becomes of a registered request.

use ragwortrill_core::{
    action::Action,
    event::{Arrival, Event, Head, Message, Probe, Read, TargetReport, Ticket},
    health::State,
    key::Digest,
    name,
    node::{Config, Node},
    number::{Offset, Version},
    pause,
    process::Process,
    record::{Entry, Id, Record},
    request, table_file,
    time::{Instant, Span},
    times::Times,
};

const TABLE: &str = r#"{
    "data_centres": [{"name": "north", "region": "plain"}],
    "services": [{
        "name": "orders", "slots": 6, "connections": 110, "deadline": "10s", "id_window": "5m",
        "divided_by_key": true,
        "targets": [{"name": "orders-1", "address": "127.0.0.1:1", "data_centre": "north"}]
    }]
}"#;

/// Time for which the target wants nothing.
const PAUSE: Span = Span::from_secs(2);

fn target() -> name::Target {
    "orders-1".parse().expect("the name is valid")
}

fn peer() -> Process {
    "entry-2/2".parse().expect("the process is valid")
}

fn report(start_id: u64, leaving: bool) -> TargetReport {
    TargetReport {
        target: target(),
        start_id: Some(start_id),
        state: State::Warm,
        in_flight: 0,
        limit: 6,
        latency: Span::ZERO,
        load: 0,
        capacity_percent: 100,
        rate_limit: None,
        leaving,
        paused: None,
    }
}

/// What a node learns about its target.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A probe is answered by a run.
    Probe(u64),
    /// An answer to a request that was sent to a run, if it was known, states that the target leaves.
    Answer(Option<u64>),
    /// A peer reports a run, and whether it leaves.
    Report(u64, bool),
    /// An answer to a request that was sent to a run states that the target wants nothing for 2 s.
    Pause(u64),
}

/// A node that holds the target, and a log that answers at once.
struct Harness {
    node: Node,
    now: Instant,
    end: Offset,
    entries: u128,
    actions: Vec<Action>,
    /// The target in the latest heartbeat to the peer.
    reported: Option<TargetReport>,
    /// Intents that the log holds back.
    intents: Vec<Entry>,
    /// Requests that were sent to the target.
    sent: Vec<Ticket>,
}

impl Harness {
    fn new() -> Self {
        let node = Node::new(Config {
            process: "entry-1/1".parse().expect("the process is valid"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "north".parse().expect("the name is valid"),
            times: Times::default(),
        });
        let mut harness = Self {
            node,
            now: Instant(Span::from_secs(100).0),
            end: Offset(0),
            entries: 0,
            actions: Vec::new(),
            reported: None,
            intents: Vec::new(),
            sent: Vec::new(),
        };
        let table = table_file::parse(TABLE).expect("the table is valid");
        let base = Version(0);
        harness.append(Record::Table { base, table });
        harness.append(Record::Started {
            process: peer(),
            address: ([127, 0, 0, 1], 2).into(),
            data_centre: "north".parse().expect("the name is valid"),
            after: Offset(0),
        });
        harness
    }

    fn append(&mut self, record: Record) {
        self.entries += 1;
        self.read(vec![Entry {
            id: Id(self.entries),
            actor: "robin".to_owned(),
            reason: "test".to_owned(),
            written_ms: 1,
            record,
        }]);
    }

    fn read(&mut self, entries: Vec<Entry>) {
        let offsets = (self.end.0 + 1..).map(Offset);
        let rows: Vec<_> = offsets.zip(entries).collect();
        self.end = Offset(self.end.0 + rows.len() as u64);
        self.handle(Event::Read(Read {
            sent: self.now,
            end: self.end,
            rows,
        }));
    }

    fn handle(&mut self, event: Event) {
        self.node.handle(self.now, event, &mut self.actions);
    }

    /// Advances the time in ticks. Probes get no answer, and intents are held back.
    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(20);
            self.handle(Event::Tick);
            let mut entries = Vec::new();
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Append(entry) if matches!(entry.record, Record::Intent { .. }) => {
                        self.intents.push(entry);
                    }
                    Action::Dispatch(dispatch) => self.sent.push(dispatch.ticket),
                    Action::Append(entry) => entries.push(entry),
                    Action::Send {
                        message: Message::Heartbeat { reports, .. },
                        ..
                    } => self.reported = reports.first().cloned(),
                    _ => {}
                }
            }
            self.read(entries);
        }
    }

    fn take(&mut self, step: Step) {
        let target = target();
        match step {
            Step::Probe(start_id) => {
                let answer = Probe::Answered {
                    start_id,
                    load: 0,
                    clock_ms: 1,
                };
                self.handle(Event::Probed { target, answer });
            }
            Step::Answer(start_id) => self.handle(Event::LeavingStated { target, start_id }),
            Step::Pause(start_id) => self.handle(Event::PauseStated {
                target,
                start_id: Some(start_id),
                answered_at: self.now,
                time: pause::Time(PAUSE),
            }),
            Step::Report(start_id, leaving) => {
                let message = Message::Heartbeat {
                    sent: self.now,
                    offset: self.end,
                    hash: self.node.ledger().hash(),
                    epochs: Vec::new(),
                    reports: vec![report(start_id, leaving)],
                    stopping: false,
                };
                let from = peer();
                self.handle(Event::Received { from, message });
            }
        }
    }
}

/// Guards against a statement that is lost with a change of the holder, and against one that outlasts
/// the run of the target that made it.
#[test]
fn statement_holds_for_the_run_that_made_it() {
    use Step::{Answer, Probe, Report};
    struct Case {
        name: &'static str,
        /// Before the node holds the target.
        before: &'static [Step],
        after: &'static [Step],
        leaves: bool,
    }
    let cases = [
        Case {
            name: "nothing stated",
            before: &[Report(1, false)],
            after: &[Probe(1)],
            leaves: false,
        },
        Case {
            name: "answer",
            before: &[],
            after: &[Probe(1), Answer(Some(1)), Probe(1)],
            leaves: true,
        },
        Case {
            name: "answer to a request that was sent before the first probe",
            before: &[],
            after: &[Probe(1), Answer(None)],
            leaves: true,
        },
        Case {
            name: "next run",
            before: &[],
            after: &[Probe(1), Answer(Some(1)), Probe(2)],
            leaves: false,
        },
        Case {
            name: "late answer of the earlier run",
            before: &[],
            after: &[Probe(1), Probe(2), Answer(Some(1))],
            leaves: false,
        },
        Case {
            name: "told by the earlier holder, before the first probe",
            before: &[Report(1, true)],
            after: &[],
            leaves: true,
        },
        Case {
            name: "told by the earlier holder",
            before: &[Report(1, true)],
            after: &[Probe(1)],
            leaves: true,
        },
        Case {
            name: "told by the earlier holder about an earlier run",
            before: &[Report(1, true)],
            after: &[Probe(2)],
            leaves: false,
        },
        Case {
            name: "a later holder of an earlier release does not tell it",
            before: &[Report(1, true), Report(1, false)],
            after: &[Probe(1)],
            leaves: true,
        },
        Case {
            name: "late report of a former holder about the earlier run",
            before: &[],
            after: &[Probe(2), Answer(Some(2)), Report(1, true)],
            leaves: true,
        },
        Case {
            name: "late report of a former holder does not bring the statement back",
            before: &[],
            after: &[Probe(1), Answer(Some(1)), Probe(2), Report(1, true)],
            leaves: false,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        case.before.iter().for_each(|step| harness.take(*step));
        while harness.node.ownership().held().is_empty() {
            harness.pass(Span::from_millis(20));
        }
        case.after.iter().for_each(|step| harness.take(*step));
        harness.reported = None;
        harness.pass(Span::from_millis(500));
        let leaves = harness.reported.map(|report| report.leaving);
        assert_eq!(leaves, Some(case.leaves), "{}", case.name);
    }
}

/// Guards against a pause that is taken for one of another run of the target, which may well take
/// requests.
#[test]
fn pause_holds_for_the_run_that_stated_it() {
    use Step::{Pause, Probe};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        is_paused: bool,
    }
    let cases = [
        Case {
            name: "the same run",
            steps: &[Probe(1), Pause(1), Probe(1)],
            is_paused: true,
        },
        Case {
            name: "next run",
            steps: &[Probe(1), Pause(1), Probe(2)],
            is_paused: false,
        },
        Case {
            name: "late answer of the earlier run",
            steps: &[Probe(1), Probe(2), Pause(1)],
            is_paused: false,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        while harness.node.ownership().held().is_empty() {
            harness.pass(Span::from_millis(20));
        }
        case.steps.iter().for_each(|step| harness.take(*step));
        harness.reported = None;
        harness.pass(Span::from_millis(500));
        let report = harness.reported.expect("the target is reported");
        assert_eq!(report.paused.is_some(), case.is_paused, "{}", case.name);
        assert_eq!(report.limit == 0, case.is_paused, "{}", case.name);
    }
}

/// Guards against an order that is sent to a target within its pause, because its registration in the
/// log began before, and against one whose id is used up although it never ran.
#[test]
fn registered_order_waits_for_the_end_of_a_pause() {
    let mut harness = Harness::new();
    while harness.node.ownership().held().is_empty() {
        harness.pass(Span::from_millis(20));
    }
    harness.take(Step::Probe(1));
    harness.pass(Span::from_millis(500));
    let service = "orders".parse().expect("the name is valid");
    let key = Digest::new(&service, b"key");
    let ticket = Ticket(7);
    harness.handle(Event::Arrive(Arrival {
        ticket,
        head: Head {
            request: request::Id { key, number: 1 },
            service,
            key: Some(key),
            idempotent: false,
            fingerprint: request::Fingerprint(1),
            caller: 1,
        },
        deadline: harness.now + Span::from_secs(10),
        forwarded: false,
        min_offset: Offset(0),
    }));
    harness.pass(Span::from_millis(20));
    let intents = std::mem::take(&mut harness.intents);
    assert_eq!(intents.len(), 1);
    harness.take(Step::Pause(1));
    let began = harness.now;
    harness.read(intents);
    while harness.now.since(began) < PAUSE {
        assert_eq!(harness.sent, [], "{}", harness.now.since(began));
        harness.take(Step::Probe(1));
        harness.pass(Span::from_millis(20));
    }
    harness.pass(Span::from_millis(40));
    assert_eq!(harness.sent, [ticket]);
}

/// Guards against reports that a daemon of the release before can't read, or that are read differently
/// when they come from one.
#[test]
fn report_without_a_statement_is_that_of_the_release_before() {
    let plain = serde_json::to_value(report(1, false)).expect("a report can be encoded");
    assert_eq!(plain.get("leaving"), None);
    assert_eq!(plain.get("paused"), None);
    let read: TargetReport = serde_json::from_value(plain).expect("the report is read");
    assert_eq!((read.leaving, read.paused), (false, None));
    let stated = serde_json::to_value(report(1, true)).expect("a report can be encoded");
    let read: TargetReport = serde_json::from_value(stated).expect("the report is read");
    assert!(read.leaving);
}
