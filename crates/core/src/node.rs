//! All decisions of one daemon behind one function.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    action::Action,
    agreement::Agreement,
    balance::Planner,
    choice::Choice,
    event::{Arrival, Endpoint, Event, Message, Read, TargetReport, Ticket},
    ledger::{Effect, Ledger},
    member::View,
    name,
    number::{Epoch, Offset, Version},
    ownership::Ownership,
    process::Process,
    quarantine::Quarantine,
    record::{self, Entry, Record},
    request,
    retry::Budget,
    snapshot::Schedule,
    target_state::TargetState,
    time::{Instant, Span},
    times::Times,
};

/// Age up to which an answer of the log counts as of now: three ticks of the daemon.
const FRESH_ANSWER: Span = Span::from_millis(60);

/// Identity and limits of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The process.
    pub process: Process,
    /// Address on which it accepts links.
    pub address: std::net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: name::DataCentre,
    /// Time limits of the protocol.
    pub times: Times,
}

/// The decisions of one daemon.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) ledger: Ledger,
    pub(crate) ownership: Ownership,
    pub(crate) view: View,
    pub(crate) agreement: Agreement,
    pub(crate) snapshots: Schedule,
    pub(crate) target_states: BTreeMap<name::Target, TargetState>,
    pub(crate) tickets: BTreeMap<Ticket, Held>,
    pub(crate) running: BTreeMap<request::Id, Ticket>,
    /// Status of requests that ended here, until the log has their outcome.
    pub(crate) ended: BTreeMap<request::Id, u16>,
    pub(crate) claimable: BTreeMap<name::Target, Instant>,
    /// What the holders of targets last told of them.
    pub(crate) reports: BTreeMap<name::Target, TargetReport>,
    pub(crate) planners: BTreeMap<name::Service, Planner>,
    pub(crate) quarantine: Quarantine,
    pub(crate) choice: Choice,
    pub(crate) retries: BTreeMap<name::Service, Budget>,
    pub(crate) entries: u64,
    pub(crate) started: bool,
    pub(crate) stopping: Option<Instant>,
    /// True once the record of this process's graceful end is submitted.
    pub(crate) ended_announced: bool,
    pub(crate) next_heartbeat: Instant,
    pub(crate) planned: Instant,
    /// Median latency of each service's targets, by which each of them is judged.
    pub(crate) references: BTreeMap<name::Service, Span>,
    /// Version of the table for which all targets have contracts.
    pub(crate) contracted: Version,
    pub(crate) next_yield: Instant,
    /// When a read of the log last showed that no record is newer than those applied.
    pub(crate) answered: Option<Instant>,
    pub(crate) ticked: Instant,
}

/// A request that this node has not finished.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) arrival: Arrival,
    pub(crate) phase: Phase,
    /// The intent in the log, once the request is registered and until it is sent.
    pub(crate) intent: Option<Intent>,
    /// True if it may have run: it was sent, and how that ended is not known.
    pub(crate) sent: bool,
}

/// A registration of a request in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Intent {
    pub(crate) offset: Offset,
    pub(crate) epoch: Epoch,
}

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits until it can be routed.
    Waiting,
    /// Waits for a slot of a target.
    Queued(name::Target),
    /// Waits for its intent's record.
    Registering(name::Target, record::Id),
    /// Runs at a target since a moment.
    Running(name::Target, Instant),
    /// Waits until it is known whether its target crashed.
    Suspended(name::Target),
    /// Was forwarded to the daemon that holds its target.
    Forwarded(Process),
}

impl Node {
    /// Creates a node that knows nothing yet.
    pub fn new(config: Config) -> Self {
        Self {
            ownership: Ownership::new(config.process.clone()),
            ledger: Ledger::default(),
            view: View::default(),
            agreement: Agreement::default(),
            snapshots: Schedule::default(),
            target_states: BTreeMap::new(),
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            claimable: BTreeMap::new(),
            reports: BTreeMap::new(),
            planners: BTreeMap::new(),
            quarantine: Quarantine::default(),
            choice: Choice::new(config.process.incarnation),
            retries: BTreeMap::new(),
            entries: 0,
            started: false,
            stopping: None,
            ended_announced: false,
            next_heartbeat: Instant::default(),
            planned: Instant::default(),
            references: BTreeMap::new(),
            contracted: Version::default(),
            next_yield: Instant::default(),
            answered: None,
            ticked: Instant::default(),
            config,
        }
    }

    /// Reacts to an event at a moment of this process's clock.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Read(read) => self.read(now, read, actions),
            Event::Restore(ledger) => self.restore(now, *ledger, actions),
            Event::Received { from, message } => self.hear(now, from, message, actions),
            Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            Event::Finish { ticket, result } => self.finish(now, ticket, result, actions),
            Event::Disconnected(ticket) => self.caller_left(now, ticket, actions),
            Event::Probed { target, answer } => self.probed(now, &target, answer, actions),
            Event::Granted {
                target,
                epoch,
                accepted,
            } => self.granted(now, &target, epoch, accepted, actions),
            Event::Stop => self.stop(now, actions),
        }
    }

    fn read(&mut self, now: Instant, read: Read, actions: &mut Vec<Action>) {
        let before = self.ledger.offset();
        for (offset, entry) in &read.rows {
            if *offset != self.ledger.offset().next() {
                continue;
            }
            let effect = self.ledger.apply(*offset, entry);
            self.agreement.apply(*offset, self.ledger.hash());
            self.follow(now, *offset, entry, effect, actions);
        }
        if self.ledger.offset() >= read.end {
            self.ownership.prove(read.sent);
            self.answered = Some(now);
        }
        if !self.started && self.ownership.lease().proof().is_some() {
            self.announce(actions);
        }
        if self.ledger.offset() != before {
            self.reconcile(now, actions);
            self.claim(now, actions);
            self.route_waiting(now, actions);
        }
    }

    fn announce(&mut self, actions: &mut Vec<Action>) {
        self.started = true;
        let record = Record::Started {
            process: self.config.process.clone(),
            address: self.config.address,
            data_centre: self.config.data_centre.clone(),
            after: self.ledger.offset(),
        };
        self.append("process started", record, actions);
    }

    fn follow(
        &mut self,
        now: Instant,
        offset: Offset,
        entry: &Entry,
        effect: Effect,
        actions: &mut Vec<Action>,
    ) {
        self.ownership
            .follow(now, offset, entry, &self.ledger, &self.config.times);
        self.snapshots.follow(now, entry, self.started);
        match &entry.record {
            Record::Started { process, .. } => {
                self.view.expect(process, now);
                let latest = self.ledger.processes().values().map(|peer| &peer.process);
                let latest: BTreeSet<&Process> = latest.collect();
                self.agreement.retain(|process| latest.contains(process));
            }
            Record::Intent {
                requests, epoch, ..
            } => {
                let intent = Intent {
                    offset,
                    epoch: *epoch,
                };
                for request in requests {
                    self.follow_intent(now, entry, *request, intent, actions);
                }
            }
            // A new holder has yet to find out how its targets are.
            Record::Claim {
                holder, targets, ..
            } if *holder != self.config.process => {
                for (target, _) in targets {
                    self.reports.remove(target);
                }
            }
            Record::Outcome { requests } => {
                for (request, _) in requests {
                    self.ended.remove(request);
                }
            }
            Record::Move {
                service,
                from,
                shares,
                ..
            } => self.moved(now, entry.id, service, shares, from),
            Record::Crash { fingerprints, .. } if effect == Effect::Applied => {
                self.note_crash(now, entry, fingerprints, actions);
            }
            Record::Quarantine {
                fingerprint,
                barred,
            } => match barred {
                true => self.quarantine.add(now, *fingerprint),
                false => self.quarantine.release(*fingerprint),
            },
            Record::Table { .. } => self.configure(),
            _ => {}
        }
    }

    /// Creates an entry for the log with the next identifier of this process.
    pub(crate) fn append(&mut self, reason: &str, record: Record, actions: &mut Vec<Action>) {
        let id = self.next_entry();
        self.append_as(id, reason, record, actions);
    }

    /// Returns an identifier for an entry. It is unique, since the incarnation is in it.
    pub(crate) fn next_entry(&mut self) -> record::Id {
        self.entries += 1;
        let incarnation = u128::from(self.config.process.incarnation);
        record::Id(incarnation << 64 | u128::from(self.entries))
    }

    pub(crate) fn append_as(
        &mut self,
        id: record::Id,
        reason: &str,
        record: Record,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Append(Entry {
            id,
            actor: self.config.process.to_string(),
            reason: reason.to_owned(),
            written_ms: 0,
            record,
        }));
    }

    fn hear(&mut self, now: Instant, from: Process, message: Message, actions: &mut Vec<Action>) {
        self.view.hear(&from, now);
        match message {
            Message::Heartbeat {
                sent,
                offset,
                hash,
                epochs,
                reports,
            } => {
                self.agreement.show(&from, offset, hash);
                for report in reports {
                    self.reports.insert(report.target.clone(), report);
                }
                let withheld = self.ownership.withheld(&epochs);
                let message = Message::Promise {
                    sent,
                    asked: epochs,
                    withheld,
                    offset: self.ledger.offset(),
                };
                self.tell(&from, message, actions);
            }
            Message::Promise {
                sent,
                asked,
                withheld,
                offset,
            } => {
                self.ownership.note_promise(&from, sent, &asked, &withheld);
                if offset > self.ledger.offset() && !self.is_reading(now) {
                    let message = Message::Fetch {
                        sent: now,
                        offset: self.ledger.offset(),
                    };
                    self.tell(&from, message, actions);
                }
            }
            Message::Fetch { .. } => {}
        }
    }

    /// Tells whether the log answered lately.
    pub(crate) fn is_reading(&self, now: Instant) -> bool {
        let times = &self.config.times;
        let span = times.log_wait + times.log_wait + times.log_wait;
        self.ownership.lease().is_recent(now, span)
    }

    /// Tells whether the log answered a moment ago.
    ///
    /// Work ends before the record of a move or a release is submitted and stays without a place
    /// until the record is read, so that none may be submitted late in an outage of the log.
    pub(crate) fn has_answered(&self, now: Instant) -> bool {
        let answered = self.answered;
        self.is_reading(now) && answered.is_some_and(|at| now.since(at) < FRESH_ANSWER)
    }

    pub(crate) fn tell(&self, to: &Process, message: Message, actions: &mut Vec<Action>) {
        if let Some(to) = self.peer(to) {
            actions.push(Action::Send { to, message });
        }
    }

    /// Returns the address of a process, if it is the latest of its host.
    pub(crate) fn peer(&self, process: &Process) -> Option<Endpoint> {
        let peer = self.ledger.processes().get(&process.host)?;
        (peer.process == *process).then(|| Endpoint {
            process: process.clone(),
            address: peer.address,
        })
    }

    /// Returns the shared state.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns what this process holds.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns how this process's shared state compares with that of its peers.
    pub fn agreement(&self) -> &Agreement {
        &self.agreement
    }

    /// Returns the identity and limits of this node.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Tells whether this process was heard lately by this node.
    pub fn hears(&self, process: &Process, now: Instant) -> bool {
        self.view
            .is_heard(process, now, self.config.times.suspicion)
    }

    /// Tells whether a process is this one, or was heard lately by it.
    pub(crate) fn is_present(&self, process: &Process, now: Instant) -> bool {
        *process == self.config.process || self.hears(process, now)
    }

    /// Tells how many requests are not finished.
    pub fn load(&self) -> usize {
        self.tickets.len()
    }

    /// Notes the end of a request.
    pub(crate) fn close(&mut self, ticket: Ticket) -> Option<Held> {
        let held = self.tickets.remove(&ticket)?;
        let request = held.arrival.head.request;
        if self.running.get(&request) == Some(&ticket) {
            self.running.remove(&request);
        }
        Some(held)
    }
}
