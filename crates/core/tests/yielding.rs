//! Release of contracts: while a request is being registered, and to a peer that shuts down.

use ragwortrill_core::{
    action::Action,
    event::{Arrival, Event, Head, Message, Probe, Read, Ticket},
    key::Digest,
    node::{Config, Node},
    number::{Offset, Version},
    process::Process,
    record::{Entry, Id, Record},
    request, table_file,
    time::{Instant, Span},
    times::Times,
};

const TABLE: &str = r#"{
    "data_centres": [{"name": "north", "region": "plain"}, {"name": "south", "region": "plain"}],
    "services": [{
        "name": "orders", "slots": 6, "connections": 110, "deadline": "10s", "id_window": "5m",
        "divided_by_key": true,
        "targets": [{"name": "orders-1", "address": "127.0.0.1:1", "data_centre": "south"}]
    }]
}"#;

fn entry(id: u128, record: Record) -> Entry {
    Entry {
        id: Id(id),
        actor: "robin".to_owned(),
        reason: "test".to_owned(),
        written_ms: 1,
        record,
    }
}

fn peer() -> Process {
    "entry-2/2".parse().expect("the process is valid")
}

/// A node with a log that answers at once, except that intents are held back.
struct Harness {
    node: Node,
    now: Instant,
    end: Offset,
    held_back: Vec<Entry>,
    actions: Vec<Action>,
    /// Whether the peer shuts down, if there is one.
    peer: Option<bool>,
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
            held_back: Vec::new(),
            actions: Vec::new(),
            peer: None,
        };
        let table = table_file::parse(TABLE).expect("the table is valid");
        let base = Version(0);
        harness.read(vec![entry(1, Record::Table { base, table })]);
        harness
    }

    /// Starts a peer in the target's data centre.
    fn start_peer(&mut self) {
        let record = Record::Started {
            process: peer(),
            address: ([127, 0, 0, 1], 2).into(),
            data_centre: "south".parse().expect("the name is valid"),
            after: self.end,
        };
        self.read(vec![entry(2, record)]);
        self.peer = Some(false);
    }

    fn deliver_heartbeat(&mut self, stopping: bool) {
        let message = Message::Heartbeat {
            sent: self.now,
            offset: self.end,
            hash: self.node.ledger().hash(),
            epochs: Vec::new(),
            reports: Vec::new(),
            stopping,
        };
        let from = peer();
        self.handle(Event::Received { from, message });
    }

    fn read(&mut self, entries: Vec<Entry>) {
        let from = self.end;
        let offsets = (from.0 + 1..).map(Offset);
        let rows: Vec<_> = offsets.zip(entries).collect();
        self.end = Offset(from.0 + rows.len() as u64);
        let read = Read {
            sent: self.now,
            end: self.end,
            rows,
        };
        self.handle(Event::Read(read));
    }

    fn handle(&mut self, event: Event) {
        self.node.handle(self.now, event, &mut self.actions);
    }

    /// Advances the time in ticks. The log appends all entries except intents.
    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(20);
            self.handle(Event::Tick);
            if let Some(stopping) = self.peer {
                self.deliver_heartbeat(stopping);
            }
            let appended = std::mem::take(&mut self.actions);
            let mut entries = Vec::new();
            for action in appended {
                match action {
                    Action::Append(entry) if matches!(entry.record, Record::Intent { .. }) => {
                        self.held_back.push(entry);
                    }
                    Action::Append(entry) => entries.push(entry),
                    Action::Probe { target, .. } => {
                        let answer = Probe::Answered {
                            start_id: 1,
                            load: 0,
                            clock_ms: 1,
                        };
                        self.handle(Event::Probed { target, answer });
                    }
                    _ => {}
                }
            }
            self.read(entries);
        }
    }
}

/// Guards against a non-idempotent request whose id is used up although it never ran, because its
/// holder stopped between registering and sending it. The demo had one such request in 20,000.
#[test]
fn a_registered_request_is_sent_before_its_contract_is_released() {
    let mut harness = Harness::new();
    harness.pass(Span::from_secs(2));
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
    harness.handle(Event::Stop);
    // After the time in which the load balancer detects the stop, before the limit for running
    // requests.
    harness.pass(Span::from_millis(2_500));
    let target = "orders-1".parse().expect("the name is valid");
    assert!(harness.node.ownership().held()[&target].stopped);
    let intents = std::mem::take(&mut harness.held_back);
    assert_eq!(intents.len(), 1);
    harness.read(intents);
    let mut actions = harness.actions.iter();
    let sent = actions.any(|action| matches!(action, Action::Dispatch(s) if s.ticket == ticket));
    assert!(sent, "{:?}", harness.actions);
}

/// Guards against a contract that is released to a peer which shuts down and claims nothing: its
/// requests have no holder until another daemon claims it, again and again until the peer has ended.
#[test]
fn a_contract_is_not_released_to_a_peer_that_shuts_down() {
    struct Case {
        stopping: bool,
        released: bool,
    }
    let cases = [(false, true), (true, false)];
    let cases = cases.map(|(stopping, released)| Case { stopping, released });
    for case in cases {
        let mut harness = Harness::new();
        harness.pass(Span::from_secs(2));
        harness.start_peer();
        harness.pass(Span::from_secs(2));
        harness.peer = Some(case.stopping);
        let target = "orders-1".parse().expect("the name is valid");
        let epoch = harness.node.ownership().held()[&target].epoch;
        harness.pass(Span::from_secs(5));
        let held = harness.node.ownership().held().get(&target);
        let kept = held.is_some_and(|held| held.epoch == epoch && !held.stopped);
        assert_eq!(kept, !case.released, "stopping: {}", case.stopping);
        let standbys = held.map(|held| held.standbys().contains(&peer()));
        assert_eq!(
            standbys.filter(|_| case.stopping),
            case.stopping.then_some(false)
        );
    }
}

/// Guards against a target that waits for a claim of a peer which shuts down.
#[test]
fn a_peer_that_shuts_down_does_not_delay_a_claim() {
    let mut harness = Harness::new();
    harness.start_peer();
    harness.peer = Some(true);
    harness.pass(Span::from_millis(100));
    let target = "orders-1".parse().expect("the name is valid");
    assert!(harness.node.ownership().held().contains_key(&target));
}

/// Guards against a contract that is held until its process ends, since the process was asked to stop
/// between its claim and the confirmation: no other daemon serves the target meanwhile, and the next
/// holder waits as after a crash.
#[test]
fn a_contract_that_is_not_confirmed_yet_is_released_when_its_holder_stops() {
    let mut harness = Harness::new();
    let target = "orders-1".parse().expect("the name is valid");
    while harness.node.ownership().held().is_empty() {
        harness.pass(Span::from_millis(20));
    }
    let held = &harness.node.ownership().held()[&target];
    assert!(!held.is_confirmed());
    harness.handle(Event::Stop);
    harness.pass(Span::from_secs(3));
    let contract = &harness.node.ledger().contracts()[&target];
    assert!(contract.released.is_some(), "{contract:?}");
}
