//! Routing of a node's requests to targets, and their admission.

use crate::{
    action::{Action, Dispatch},
    admission::{self, Admission, Caller, Decision},
    choice::Candidate,
    event::{Arrival, Finish, Ticket},
    key::Digest,
    name,
    node::{Node, Pending, Phase},
    pause,
    quarantine::Status,
    rate_limit::{Source, Statement},
    request::{self, Refusal},
    table,
    target_state::{self, queue_id},
    time::{Instant, Span},
};

/// Minimum time after which a refused caller is told to retry.
pub(crate) const MIN_RETRY_AFTER: Span = Span::from_secs(1);

impl Node {
    pub(crate) fn arrive(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        self.count_request(&arrival.head.service);
        let ticket = arrival.ticket;
        let phase = Phase::Waiting;
        let held = Pending {
            arrival,
            phase,
            intent: None,
            withdrawn: None,
            sent: false,
        };
        self.tickets.insert(ticket, held);
        self.route(now, ticket, actions);
    }

    pub(crate) fn route_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let waiting = self
            .tickets
            .iter()
            .filter(|(_, held)| held.phase == Phase::Waiting);
        let waiting: Vec<Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            self.route(now, ticket, actions);
        }
    }

    pub(crate) fn route(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let arrival = held.arrival.clone();
        if self.ledger.offset() < arrival.min_offset {
            return;
        }
        let row = self.ledger.table().services.get(&arrival.head.service);
        let Some(row) = row.cloned() else {
            if self.ledger.version().0 > 0 {
                self.refuse(ticket, Refusal::UnknownService, None, actions);
            }
            return;
        };
        let Some(target) = self.choose_target(now, &row, &arrival) else {
            if let Some((refusal, retry_after)) = self.refusal_without_target(now, &row, &arrival) {
                self.refuse(ticket, refusal, retry_after, actions);
            }
            return;
        };
        if self.withdraw_before_reroute(ticket, &target, actions) {
            return;
        }
        if self
            .ownership
            .epoch(&target, now, &self.config.times)
            .is_some()
        {
            self.admit(now, ticket, &target, actions);
        } else {
            self.forward(now, ticket, &target, actions);
        }
    }

    /// Returns the refusal of a request for which there is no target now, or none if it waits for one.
    fn refusal_without_target(
        &self,
        now: Instant,
        row: &table::Service,
        arrival: &Arrival,
    ) -> Option<(Refusal, Option<Span>)> {
        let mut targets = row.targets.keys();
        if !row.divided_by_key && !arrival.forwarded && targets.all(|t| self.is_draining(t)) {
            return Some((Refusal::NoTarget, Some(MIN_RETRY_AFTER)));
        }
        let patience = pause::patience(now, arrival.deadline.since(now));
        if let Some(left) = self.pause_of_all(now, row)
            && now + left > patience
        {
            return Some((Refusal::Full, Some(left.max(MIN_RETRY_AFTER))));
        }
        arrival.forwarded.then_some((Refusal::Moving, None))
    }

    /// Returns the time for which all targets that may run the requests of a service want nothing. None
    /// if one takes requests, or if only the owner of a key may run them.
    fn pause_of_all(&self, now: Instant, row: &table::Service) -> Option<Span> {
        if row.divided_by_key {
            return None;
        }
        let targets = row.targets.keys();
        let serving = targets.filter(|target| !self.is_draining(target) && !self.is_lost(target));
        let times: Option<Vec<Span>> = serving.map(|t| self.pause_left(now, t)).collect();
        times?.into_iter().min()
    }

    /// Returns the time for which a target still wants nothing from its holder.
    pub(crate) fn pause_left(&self, now: Instant, target: &name::Target) -> Option<Span> {
        match (self.target_states.get(target), self.reports.get(target)) {
            (Some(state), _) => state.queue.pause_left(now),
            (None, report) => report?.paused,
        }
    }

    /// Chooses the target of a request: the owner of its key, or any target if the service is not
    /// divided by key.
    fn choose_target(
        &mut self,
        now: Instant,
        row: &table::Service,
        arrival: &Arrival,
    ) -> Option<name::Target> {
        let head = &arrival.head;
        if row.divided_by_key {
            let key = head.key.unwrap_or(head.request.key);
            return self.ledger.owner(&head.service, key).cloned();
        }
        let targets: Vec<&name::Target> = row.targets.keys().collect();
        let candidates: Vec<Candidate> = targets
            .iter()
            .map(|target| self.candidate(now, target, row, arrival.forwarded))
            .collect();
        let chosen = self.choice.pick(&candidates, None)?;
        Some(targets[chosen].clone())
    }

    fn has_live_holder(&self, now: Instant, target: &name::Target) -> bool {
        let contract = self.ledger.contracts().get(target);
        contract.is_some_and(|contract| self.is_present(&contract.holder, now))
    }

    /// Describes a target as a candidate for the choice.
    fn candidate(
        &self,
        now: Instant,
        target: &name::Target,
        row: &table::Service,
        own_only: bool,
    ) -> Candidate {
        let usable = !self.is_draining(target)
            && !self.is_lost(target)
            && self.pause_left(now, target).is_none()
            && self.has_live_holder(now, target);
        let unknown = Candidate {
            in_flight: 0,
            limit: row.slots,
            latency: Span::ZERO,
            factor_percent: 100,
            usable: usable && !own_only,
        };
        match (self.target_states.get(target), self.reports.get(target)) {
            (Some(state), _) => Candidate {
                in_flight: (state.queue.running() + state.queue.waiting()) as u32,
                limit: match state.queue.is_within_rate(now) {
                    true => state.queue.limit(),
                    false => 0,
                },
                latency: state.health.median().unwrap_or_default(),
                factor_percent: state.health.hint().factor_percent(now),
                usable: usable && state.yielding.is_none(),
            },
            (None, Some(report)) => Candidate {
                in_flight: report.in_flight,
                limit: report.limit,
                latency: report.latency,
                ..unknown
            },
            (None, None) => unknown,
        }
    }

    fn forward(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let contract = self.ledger.contracts().get(target);
        let holder = contract
            .filter(|c| c.released.is_none())
            .map(|c| c.holder.clone());
        let mine = holder.as_ref() == Some(&self.config.process);
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        if held.arrival.forwarded {
            if !mine {
                self.refuse(ticket, Refusal::NotMine, None, actions);
            }
            return;
        }
        let Some(holder) = holder.filter(|holder| !mine && self.is_responsive(holder, now)) else {
            return;
        };
        if let Some(to) = self.peer(&holder)
            && let Some(held) = self.tickets.get_mut(&ticket)
        {
            held.phase = Phase::Forwarded(holder);
            let deadline = held.arrival.deadline;
            actions.push(Action::Forward {
                ticket,
                to,
                deadline,
            });
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let Arrival { head, deadline, .. } = self.tickets[&ticket].arrival.clone();
        let status = self.quarantine.status(head.fingerprint);
        if status == Status::Quarantined || self.is_quarantined(head.fingerprint) {
            return self.refuse(ticket, Refusal::Quarantined, None, actions);
        }
        if !head.idempotent && self.answer_if_unsendable(now, ticket, target, &head, actions) {
            return;
        }
        if self.is_moving(target, &head.service, head.key) {
            return;
        }
        let offered = admission::Request {
            id: queue_id(ticket),
            caller: Caller(head.caller),
            deadline,
            idempotent: head.idempotent,
            exclusive: status == Status::Suspect,
        };
        let Some(state) = self.target_states.get_mut(target) else {
            return;
        };
        let admission = state.queue.offer(now, offered);
        if !head.idempotent {
            self.running.insert(head.request, ticket);
        }
        self.set_phase(ticket, Phase::Queued(target.clone()));
        match admission {
            Admission::Start => self.start_or_register(now, ticket, target, actions),
            Admission::Wait => {}
            Admission::Refuse(refusal, span) => {
                self.refuse(ticket, refusal, Some(span.max(MIN_RETRY_AFTER)), actions);
            }
        }
    }

    /// Records what is known about a target's rate limit, and sends what it allows.
    pub(crate) fn record_rate_limit(
        &mut self,
        now: Instant,
        target: &name::Target,
        statement: Statement,
        source: Source,
        actions: &mut Vec<Action>,
    ) {
        let mut decisions = Vec::new();
        if let Some(state) = self.target_states.get_mut(target) {
            let queue = &mut state.queue;
            queue.record_rate_limit(now, statement, source, &mut decisions);
        }
        self.apply_decisions(now, target, decisions, actions);
    }

    /// Records for how long a target wants nothing, and takes back or refuses the requests that wait
    /// for it.
    pub(crate) fn record_pause(
        &mut self,
        now: Instant,
        target: &name::Target,
        answered_at: Instant,
        time: pause::Time,
        actions: &mut Vec<Action>,
    ) {
        let state = self.target_states.get_mut(target);
        let change = state.map(|state| state.queue.record_pause(answered_at, time));
        if !change.is_some_and(|change| change.is_longer) {
            return;
        }
        self.requeue_undivided(now, target, actions);
        let mut decisions = Vec::new();
        if let Some(state) = self.target_states.get_mut(target) {
            state.queue.refuse_paused(now, &mut decisions);
        }
        self.apply_decisions(now, target, decisions, actions);
    }

    fn is_quarantined(&self, fingerprint: request::Fingerprint) -> bool {
        self.ledger.quarantine().contains_key(&fingerprint)
    }

    pub(crate) fn set_phase(&mut self, ticket: Ticket, phase: Phase) {
        if let Some(held) = self.tickets.get_mut(&ticket) {
            held.phase = phase;
        }
    }

    pub(crate) fn is_moving(
        &self,
        target: &name::Target,
        service: &name::Service,
        key: Option<Digest>,
    ) -> bool {
        let handover = self
            .target_states
            .get(target)
            .and_then(|state| state.handover.as_ref());
        let row = self.ledger.table().services.get(service);
        let (Some(handover), Some(row)) = (handover, row) else {
            return false;
        };
        !row.divided_by_key || key.is_some_and(|key| handover.has(key, row.slices))
    }

    /// Applies the decisions of a target's queue on waiting requests.
    pub(crate) fn apply_decisions(
        &mut self,
        now: Instant,
        target: &name::Target,
        decisions: Vec<Decision>,
        actions: &mut Vec<Action>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Start(offered) => {
                    self.start_or_register(now, target_state::ticket(offered.id), target, actions);
                }
                Decision::Refuse(offered, refusal, _) if refusal.may_reroute() => {
                    self.await_routing(target_state::ticket(offered.id));
                }
                Decision::Refuse(offered, refusal, span) => {
                    let span = Some(span.max(MIN_RETRY_AFTER));
                    self.refuse(target_state::ticket(offered.id), refusal, span, actions);
                }
            }
        }
    }

    /// Sends a request that has a slot, or first registers it in the log if it is not idempotent.
    fn start_or_register(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.tickets.get(&ticket) else {
            return self.free_slot(now, ticket, target, None, actions);
        };
        match held.arrival.head.idempotent || held.intent.is_some() {
            true => self.start(now, ticket, target, actions),
            false => self.register(ticket, target, actions),
        }
    }

    pub(crate) fn start(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let times = &self.config.times;
        // A request that was registered before admission ended is still sent. Otherwise its id
        // would be used up although the request never ran.
        let released = self
            .target_states
            .get(target)
            .is_none_or(|state| state.released);
        let epoch = match released {
            true => self.ownership.epoch(target, now, times),
            false => self.ownership.last_epoch(target, now, times),
        };
        let lease_end = self.ownership.lease_end(target, times);
        let row = self.ledger.table().target(target);
        let (Some(epoch), Some(lease_end), Some((_, _, row))) = (epoch, lease_end, row) else {
            let lapsed = Finish::Unsent { lapsed: true };
            return self.finish_running(now, ticket, target, lapsed, actions);
        };
        let address = row.address;
        let state = self.target_states.get(target);
        let is_limited = state.is_some_and(|state| state.queue.rate_limit(now).is_some());
        let start_id = state.and_then(|state| state.start_id());
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        held.phase = Phase::Running(target.clone(), now);
        actions.push(Action::Dispatch(Dispatch {
            ticket,
            target: target.clone(),
            address,
            epoch,
            lease_end,
            deadline: held.arrival.deadline,
            is_limited,
            start_id,
        }));
        let deadline = held.arrival.deadline;
        if let Some(state) = self.target_states.get_mut(target) {
            state.last_deadline = state.last_deadline.max(deadline);
        }
    }

    pub(crate) fn await_routing(&mut self, ticket: Ticket) {
        self.set_phase(ticket, Phase::Waiting);
    }
}
