//! State machine of one daemon: it handles events and returns actions.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    action::Action,
    agreement::Agreement,
    balance::Planner,
    choice::Choice,
    event::{Arrival, Endpoint, Event, Message, Read, TargetReport, Ticket},
    leaving::Leaving,
    ledger::{Effect, Ledger},
    member::FailureDetector,
    name,
    number::{Epoch, Offset, Version},
    ownership::Ownership,
    process::Process,
    quarantine::Quarantine,
    rate_limit::Source,
    record::{self, Entry, Record},
    request,
    retry::Budget,
    snapshot::Schedule,
    target_state::TargetState,
    time::{Instant, Span},
    times::Times,
};

/// Age up to which the latest answer of the log counts as current: three ticks of the daemon.
const MAX_ANSWER_AGE: Span = Span::from_millis(60);

/// Identity and limits of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of the process.
    pub process: Process,
    /// Address on which it accepts links.
    pub address: std::net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: name::DataCentre,
    /// Time limits of the protocol.
    pub times: Times,
}

/// State and decisions of one daemon.
#[derive(Clone, Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) ledger: Ledger,
    pub(crate) ownership: Ownership,
    pub(crate) detector: FailureDetector,
    pub(crate) agreement: Agreement,
    pub(crate) snapshots: Schedule,
    pub(crate) target_states: BTreeMap<name::Target, TargetState>,
    pub(crate) tickets: BTreeMap<Ticket, Pending>,
    /// Ticket of the admitted non-idempotent request under each identifier.
    pub(crate) running: BTreeMap<request::Id, Ticket>,
    /// HTTP status of non-idempotent requests that ended here, until the log has their outcome.
    pub(crate) pending_outcomes: BTreeMap<request::Id, u16>,
    /// Since when each target without a live holder has been without one.
    pub(crate) claimable_since: BTreeMap<name::Target, Instant>,
    /// Latest report of each target by its holder.
    pub(crate) reports: BTreeMap<name::Target, TargetReport>,
    pub(crate) leaving: Leaving,
    pub(crate) planners: BTreeMap<name::Service, Planner>,
    pub(crate) quarantine: Quarantine,
    pub(crate) choice: Choice,
    pub(crate) retries: BTreeMap<name::Service, Budget>,
    pub(crate) last_entry: u64,
    pub(crate) started: bool,
    pub(crate) stopping: Option<Instant>,
    /// Other processes that shut down, until their host starts another one.
    pub(crate) stopping_peers: BTreeSet<Process>,
    /// True once the record of this process's graceful end is submitted.
    pub(crate) end_announced: bool,
    pub(crate) next_heartbeat: Instant,
    pub(crate) last_plan: Instant,
    /// Median latency of each service's targets, against which each target is checked.
    pub(crate) reference_latencies: BTreeMap<name::Service, Span>,
    /// Version of the table for which all targets have contracts.
    pub(crate) contracted_version: Version,
    pub(crate) next_yield: Instant,
    /// When a read of the log last showed that no record is newer than those applied.
    pub(crate) caught_up_at: Option<Instant>,
    pub(crate) last_tick: Instant,
}

/// A request that this node has not finished.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) arrival: Arrival,
    pub(crate) phase: Phase,
    /// The intent in the log, once the request is registered and until it is sent.
    pub(crate) intent: Option<Intent>,
    /// Offset of its intent that is being withdrawn, so that it can run elsewhere.
    pub(crate) withdrawn: Option<Offset>,
    /// True if it may have run: it was sent and the result is not known.
    pub(crate) sent: bool,
}

/// Offset and epoch of the [`Record::Intent`] that permits a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Intent {
    pub(crate) offset: Offset,
    pub(crate) epoch: Epoch,
}

/// Progress of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits until it can be routed.
    Waiting,
    /// Waits for a slot of a target.
    Queued(name::Target),
    /// Waits until its intent is read from the log.
    Registering(name::Target, record::Id),
    /// Runs at a target since a time.
    Running(name::Target, Instant),
    /// Waits for a probe that shows whether its target crashed, since its connection broke.
    Suspended(name::Target),
    /// Was forwarded to the daemon that holds its target.
    Forwarded(Process),
}

impl Node {
    /// Creates a node with an empty ledger.
    pub fn new(config: Config) -> Self {
        Self {
            ownership: Ownership::new(config.process.clone()),
            ledger: Ledger::default(),
            detector: FailureDetector::default(),
            agreement: Agreement::default(),
            snapshots: Schedule::default(),
            target_states: BTreeMap::new(),
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            pending_outcomes: BTreeMap::new(),
            claimable_since: BTreeMap::new(),
            reports: BTreeMap::new(),
            leaving: Leaving::default(),
            planners: BTreeMap::new(),
            quarantine: Quarantine::default(),
            choice: Choice::new(config.process.incarnation),
            retries: BTreeMap::new(),
            last_entry: 0,
            started: false,
            stopping: None,
            stopping_peers: BTreeSet::new(),
            end_announced: false,
            next_heartbeat: Instant::default(),
            last_plan: Instant::default(),
            reference_latencies: BTreeMap::new(),
            contracted_version: Version::default(),
            next_yield: Instant::default(),
            caught_up_at: None,
            last_tick: Instant::default(),
            config,
        }
    }

    /// Handles an event at a time of this process's clock.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Read(read) => self.read(now, read, actions),
            Event::Restore(ledger) => self.restore(now, *ledger, actions),
            Event::Received { from, message } => self.receive(now, from, message, actions),
            Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            Event::Finish { ticket, result } => self.finish(now, ticket, result, actions),
            Event::Disconnected(ticket) => self.caller_left(now, ticket, actions),
            Event::Probed { target, answer } => self.handle_probe(now, &target, answer, actions),
            Event::RateStated { target, statement } => {
                self.record_rate_limit(now, &target, statement, Source::Answer, actions);
            }
            Event::LeavingStated { target, start_id } => {
                self.record_leaving(now, &target, start_id, actions);
            }
            Event::PauseStated {
                target,
                start_id,
                answered_at,
                time,
            } => {
                if self.is_of_current_run(&target, start_id) {
                    self.record_pause(now, &target, answered_at, time, actions);
                }
            }
            Event::Granted {
                target,
                epoch,
                accepted,
            } => self.handle_grant(now, &target, epoch, accepted, actions),
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
            self.agreement.set_own(*offset, self.ledger.hash());
            self.apply(now, *offset, entry, effect, actions);
        }
        if self.ledger.offset() >= read.end {
            self.ownership.add_proof(read.sent);
            self.caught_up_at = Some(now);
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

    fn apply(
        &mut self,
        now: Instant,
        offset: Offset,
        entry: &Entry,
        effect: Effect,
        actions: &mut Vec<Action>,
    ) {
        self.ownership
            .apply(now, offset, entry, &self.ledger, &self.config.times);
        self.snapshots.apply(now, entry, self.started);
        match &entry.record {
            Record::Started { process, .. } => {
                self.detector.start_timeout(process, now);
                let latest = self.ledger.processes().values().map(|peer| &peer.process);
                let latest: BTreeSet<&Process> = latest.collect();
                self.agreement.retain(|process| latest.contains(process));
                self.stopping_peers
                    .retain(|process| latest.contains(process));
            }
            Record::Intent {
                requests, epoch, ..
            } => {
                let intent = Intent {
                    offset,
                    epoch: *epoch,
                };
                for request in requests {
                    self.apply_intent(now, entry, *request, intent, actions);
                }
            }
            // The new holder has not probed its targets yet, and earlier reports are out of date.
            Record::Claim {
                holder, targets, ..
            } if *holder != self.config.process => {
                for (target, _) in targets {
                    self.reports.remove(target);
                }
            }
            Record::Outcome { requests } => {
                for (request, _) in requests {
                    self.pending_outcomes.remove(request);
                }
            }
            Record::Move {
                service,
                from,
                shares,
                ..
            } => self.apply_move(now, entry.id, service, shares, from),
            Record::Crash { fingerprints, .. } if effect == Effect::Applied => {
                self.apply_crash(now, entry, fingerprints, actions);
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

    /// Appends a record to the log under the next entry identifier of this process.
    pub(crate) fn append(&mut self, reason: &str, record: Record, actions: &mut Vec<Action>) {
        let id = self.next_entry();
        self.append_as(id, reason, record, actions);
    }

    /// Returns an identifier for an entry. It is unique, since it contains the incarnation.
    pub(crate) fn next_entry(&mut self) -> record::Id {
        self.last_entry += 1;
        let incarnation = u128::from(self.config.process.incarnation);
        record::Id(incarnation << 64 | u128::from(self.last_entry))
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

    fn receive(
        &mut self,
        now: Instant,
        from: Process,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        self.detector.observe(&from, now);
        match message {
            Message::Heartbeat {
                sent,
                offset,
                hash,
                epochs,
                reports,
                stopping,
            } => {
                if stopping {
                    self.stopping_peers.insert(from.clone());
                }
                self.agreement.set_peer(&from, offset, hash);
                for report in reports {
                    self.merge_leaving(&report);
                    self.reports.insert(report.target.clone(), report);
                }
                let withheld = self.ownership.withheld(&epochs);
                let message = Message::Promise {
                    sent,
                    requested: epochs,
                    withheld,
                    offset: self.ledger.offset(),
                };
                self.send(&from, message, actions);
            }
            Message::Promise {
                sent,
                requested,
                withheld,
                offset,
            } => {
                self.ownership
                    .add_promise(&from, sent, &requested, &withheld);
                if offset > self.ledger.offset() && !self.is_log_available(now) {
                    let message = Message::Fetch {
                        sent: now,
                        offset: self.ledger.offset(),
                    };
                    self.send(&from, message, actions);
                }
            }
            Message::Fetch { .. } => {}
        }
    }

    /// Returns whether the latest log proof is younger than three waits of a read.
    pub(crate) fn is_log_available(&self, now: Instant) -> bool {
        let times = &self.config.times;
        let span = times.log_wait + times.log_wait + times.log_wait;
        self.ownership.lease().is_recent(now, span)
    }

    /// Returns whether the log answered within [`MAX_ANSWER_AGE`].
    ///
    /// Moves and releases start only then: admission ends before their record is submitted, and no
    /// daemon serves the requests until the record is read, which an outage of the log would delay.
    pub(crate) fn is_log_current(&self, now: Instant) -> bool {
        let caught_up_at = self.caught_up_at;
        self.is_log_available(now) && caught_up_at.is_some_and(|at| now.since(at) < MAX_ANSWER_AGE)
    }

    pub(crate) fn send(&self, to: &Process, message: Message, actions: &mut Vec<Action>) {
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

    /// Returns the contracts and the lease of this process.
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

    /// Returns whether a message of a process arrived within the suspicion timeout.
    pub fn is_responsive(&self, process: &Process, now: Instant) -> bool {
        self.detector
            .is_responsive(process, now, self.config.times.suspicion)
    }

    /// Returns whether a process is this one or is responsive.
    pub(crate) fn is_present(&self, process: &Process, now: Instant) -> bool {
        *process == self.config.process || self.is_responsive(process, now)
    }

    /// Returns the number of requests that are not finished.
    pub fn pending_requests(&self) -> usize {
        self.tickets.len()
    }

    /// Removes a request that has ended.
    pub(crate) fn close(&mut self, ticket: Ticket) -> Option<Pending> {
        let pending = self.tickets.remove(&ticket)?;
        let request = pending.arrival.head.request;
        if self.running.get(&request) == Some(&ticket) {
            self.running.remove(&request);
        }
        Some(pending)
    }
}
