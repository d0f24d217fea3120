//! Periodic work of a node: heartbeats, probes, grants and shutdown.

use std::collections::BTreeSet;

use crate::{
    action::Action,
    event::{Grant, Message, Probe, TargetReport},
    health,
    ledger::Peer,
    name,
    node::Node,
    number::Epoch,
    process::Process,
    rate_limit::{Rate, Source, Statement},
    record::Record,
    target_state::TargetState,
    time::{Instant, Span},
};

/// Time between two ticks above which this process counts as paused.
const PAUSE_THRESHOLD: Span = Span::from_millis(500);

/// Time after which a stopping daemon no longer waits for the log to show its releases.
const RELEASE_TIMEOUT: Span = Span::from_secs(8);

/// Time for which a stopping daemon still accepts requests, so that the load balancer can detect
/// that it is not ready.
pub const DRAIN_DELAY: Span = Span::from_secs(2);

impl Node {
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.times.heartbeat;
            let suspicion = self.config.times.suspicion;
            self.detector.reset_silent(now, suspicion);
            self.update_references();
            self.send_heartbeats(now, actions);
            self.claim(now, actions);
            self.confirm_contracts(now, actions);
            self.snapshot(now, actions);
        }
        self.probe_and_grant(now, actions);
        self.check_health(now, actions);
        self.yield_contracts(now, actions);
        self.hand_over(now, actions);
        self.expire_requests(now, actions);
        self.route_waiting(now, actions);
        self.shut_down(now, actions);
    }

    /// Restarts all timeouts after a pause of this process, in which it received nothing from peers
    /// and targets.
    fn detect_pause(&mut self, now: Instant) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.detector.restart_timeouts(now);
            self.target_states
                .values_mut()
                .for_each(|state| state.reset_timeout(now));
            self.claimable_since.clear();
        }
        self.last_tick = now;
    }

    fn send_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let states = self.target_states.iter();
        let reports: Vec<TargetReport> = states
            .map(|(target, state)| state.report(target, self.is_leaving(target), now))
            .collect();
        let peers: Vec<Process> = self.peers().map(|peer| peer.process.clone()).collect();
        for peer in peers {
            let message = Message::Heartbeat {
                sent: now,
                offset: self.ledger.offset(),
                hash: self.ledger.hash(),
                epochs: self.epochs_with_standby(&peer),
                reports: reports.clone(),
                stopping: self.stopping.is_some(),
            };
            self.send(&peer, message, actions);
        }
    }

    fn epochs_with_standby(&self, peer: &Process) -> Vec<Epoch> {
        let held = self.ownership.held().values();
        let named = held.filter(|held| {
            held.standbys().contains(peer) || self.ownership.is_changing_standbys(held.epoch)
        });
        let epochs: BTreeSet<Epoch> = named.map(|held| held.epoch).collect();
        epochs.into_iter().collect()
    }

    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        let peers = self.ledger.processes().values();
        peers.filter(|p| {
            p.process != self.config.process && !self.ledger.lost().contains(&p.process)
        })
    }

    /// Creates the state of each target that this process holds, and drops that of other targets.
    pub(crate) fn reconcile(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let held = self.ownership.held();
        let closed = |target: &name::Target, state: &TargetState| {
            let current = held.get(target);
            current.is_none_or(|held| held.epoch != state.epoch)
        };
        let states = self.target_states.iter();
        let gone: Vec<_> = states
            .filter(|(target, state)| closed(target, state))
            .map(|(target, _)| target.clone())
            .collect();
        for target in gone {
            self.resume_all_suspended(&target, actions);
            self.requeue(now, &target, actions);
            self.target_states.remove(&target);
        }
        for (target, held) in self.ownership.held() {
            let Some((_, row, place)) = self.ledger.table().target(target) else {
                continue;
            };
            let checks = place.checks_epoch;
            let open = || TargetState::new(held.epoch, now, row, checks, &self.config.times);
            self.target_states
                .entry(target.clone())
                .or_insert_with(open);
        }
    }

    /// Applies the limits of a new table.
    pub(crate) fn configure(&mut self) {
        for (target, state) in &mut self.target_states {
            if let Some((_, row, _)) = self.ledger.table().target(target) {
                state.configure(row);
            }
        }
        self.planners.clear();
        let table = self.ledger.table();
        self.leaving.retain(|target| table.target(target).is_some());
    }

    fn probe_and_grant(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let times = &self.config.times;
        for (target, state) in &mut self.target_states {
            let Some((_, _, row)) = self.ledger.table().target(target) else {
                continue;
            };
            let address = row.address;
            let active = self.ownership.epoch(target, now, times).is_some();
            let target = target.clone();
            if state.take_due_probe(now, times) {
                let target = target.clone();
                actions.push(Action::Probe { target, address });
            }
            let lease_end = self.ownership.lease_end(&target, times);
            if row.checks_epoch
                && active
                && let Some(lease_end) = lease_end
                && let Some(start_id) = state.start_id()
                && let Some(ttl) = state.take_due_grant(now, lease_end, times)
            {
                let grant = Grant {
                    epoch: state.epoch,
                    ttl,
                    from_ms: state.clock_ms(),
                    start_id,
                };
                actions.push(Action::Grant {
                    target,
                    address,
                    grant,
                });
            }
        }
    }

    /// Checks each target's health against the median latency of its service, and sets how many
    /// requests may run.
    fn check_health(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let targets: Vec<name::Target> = self.target_states.keys().cloned().collect();
        for target in targets {
            let row = self.ledger.table().target(&target);
            let reference =
                row.and_then(|(name, _, _)| self.reference_latencies.get(name).copied());
            let mut decisions = Vec::new();
            if let Some(state) = self.target_states.get_mut(&target) {
                state.decay(now);
                state.health.check(now, reference);
                let limit = match state.grant_accepted {
                    true => state.health.limit(now),
                    false => 0,
                };
                state.queue.set_limit(now, limit, &mut decisions);
            }
            self.apply_decisions(now, &target, decisions, actions);
            self.requeue_undivided(now, &target, actions);
        }
    }

    /// Requeues requests that wait for a target that is lost or draining or wants nothing for a time,
    /// if any target of the service may run them.
    pub(crate) fn requeue_undivided(
        &mut self,
        now: Instant,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let row = self.ledger.table().target(target);
        let undivided = row.is_some_and(|(_, row, _)| !row.divided_by_key);
        let idle = self
            .target_states
            .get(target)
            .is_none_or(|d| d.queue.waiting() == 0);
        let stays = !self.is_draining(target)
            && !self.is_lost(target)
            && self.pause_left(now, target).is_none();
        if undivided && !idle && !stays {
            self.requeue(now, target, actions);
        }
    }

    /// Computes the median latency of each service that this process holds targets of.
    ///
    /// Called once per heartbeat: if called at each tick, it takes most of the time of the periodic
    /// work when there are many targets.
    fn update_references(&mut self) {
        let rows = self.ledger.table().services.iter();
        let held = rows.filter(|(_, row)| {
            let mut states = self.target_states.keys();
            states.any(|target| row.targets.contains_key(target))
        });
        let references = held.filter_map(|(service, row)| {
            let medians = row.targets.keys().filter_map(|name| self.median(name));
            Some((service.clone(), health::reference(medians)?))
        });
        self.reference_latencies = references.collect();
    }

    fn median(&self, target: &name::Target) -> Option<Span> {
        let own = self.target_states.get(target);
        let own = own.and_then(|state| state.health.median());
        let reported = self.reports.get(target).map(|report| report.latency);
        own.or(reported).filter(|latency| *latency > Span::ZERO)
    }

    /// Returns whether a target is lost, as far as this process knows.
    pub(crate) fn is_lost(&self, target: &name::Target) -> bool {
        use health::State::{Frozen, Lost};
        match (self.target_states.get(target), self.reports.get(target)) {
            (Some(state), _) => state.is_lost(),
            (None, Some(report)) => matches!(report.state, Frozen | Lost),
            (None, None) => false,
        }
    }

    pub(crate) fn handle_probe(
        &mut self,
        now: Instant,
        target: &name::Target,
        answer: Probe,
        actions: &mut Vec<Action>,
    ) {
        let report = self.reports.get(target).cloned();
        let Some(state) = self.target_states.get_mut(target) else {
            return;
        };
        let first = state.start_id().is_none();
        state.record_probe(now, answer);
        if let Some(start_id) = state.start_id() {
            self.leaving.forget_earlier(target, start_id);
        }
        if let Some(report) = report.filter(|_| first) {
            state.adopt_report(&report);
            if report.start_id == state.start_id() {
                self.adopt_rate_limit(now, target, report.rate_limit, actions);
            }
        }
        self.resolve_disconnect(now, target, answer, actions);
    }

    /// Takes over the rate limit that the previous holder of a target knew.
    fn adopt_rate_limit(
        &mut self,
        now: Instant,
        target: &name::Target,
        rate: Option<Rate>,
        actions: &mut Vec<Action>,
    ) {
        let statement = Statement {
            rate,
            sent_at: now,
            stated_at: now,
        };
        if rate.is_some() {
            self.record_rate_limit(now, target, statement, Source::Relay, actions);
        }
    }

    pub(crate) fn handle_grant(
        &mut self,
        now: Instant,
        target: &name::Target,
        epoch: Epoch,
        accepted: bool,
        actions: &mut Vec<Action>,
    ) {
        let state = self.target_states.get_mut(target);
        if let Some(state) = state.filter(|state| state.epoch == epoch) {
            state.grant_accepted = accepted;
            self.check_health(now, actions);
        }
    }

    pub(crate) fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            actions.push(Action::Unready);
        }
    }

    /// Releases contracts after [`DRAIN_DELAY`], and ends the process when no request is left.
    fn shut_down(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping.is_none_or(|since| now < since + DRAIN_DELAY) {
            return;
        }
        let held = self.ownership.held().iter();
        let due: Vec<name::Target> = held
            .filter(|(_, held)| held.is_confirmed() && !held.stopped)
            .map(|(target, _)| target.clone())
            .collect();
        for target in due {
            self.stop_sending(now, &target, actions);
        }
        // Contracts that can't be released, because the log is down for example, end with their
        // lease.
        let stuck = self
            .stopping
            .is_some_and(|since| now >= since + RELEASE_TIMEOUT);
        if !self.tickets.is_empty() || !(stuck || self.ownership.held().is_empty()) {
            return;
        }
        if stuck || self.ledger.lost().contains(&self.config.process) {
            return actions.push(Action::Exit);
        }
        self.announce_end(actions);
    }

    /// Declares in the log that this process has ended. The others then neither wait for it nor
    /// count it when they check whether they are cut off themselves.
    fn announce_end(&mut self, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.end_announced, true) {
            let process = self.config.process.clone();
            self.append("daemon stopped", Record::Lost { process }, actions);
        }
    }
}
