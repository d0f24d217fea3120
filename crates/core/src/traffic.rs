//! Requests of a node: routing, admission, registration and their ends.

use crate::{
    action::{Action, Start},
    admission::{self, Caller, Decision, Verdict},
    choice::Candidate,
    desk::{self, queue_id},
    event::{Arrival, Finish, Head, Ticket},
    health::Observation,
    key::Digest,
    name,
    node::{Held, Intent, Node, Phase},
    number::Offset,
    quarantine::Standing,
    record::{Entry, Record},
    request::{self, Refusal, Run},
    retry::Budget,
    table,
    time::{Instant, Span},
};

/// Shortest time after which a refused caller should try again.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Retries that a service may save up.
const RETRY_BURST: u32 = 100;

impl Node {
    pub(crate) fn arrive(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        self.count_request(&arrival.head.service);
        let ticket = arrival.ticket;
        let phase = Phase::Waiting;
        let held = Held {
            arrival,
            phase,
            intent: None,
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

    fn route(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let arrival = held.arrival.clone();
        if self.ledger.offset() < arrival.known {
            return;
        }
        let row = self.ledger.table().services.get(&arrival.head.service);
        let Some(row) = row.cloned() else {
            if self.ledger.version().0 > 0 {
                self.refuse(ticket, Refusal::UnknownService, None, actions);
            }
            return;
        };
        let Some(target) = self.choose(now, &row, &arrival) else {
            if arrival.forwarded {
                self.refuse(ticket, Refusal::Moving, None, actions);
            }
            return;
        };
        if self
            .ownership
            .epoch(&target, now, &self.config.times)
            .is_some()
        {
            self.admit(now, ticket, &target, actions);
        } else {
            self.pass_on(now, ticket, &target, actions);
        }
    }

    /// Chooses the target of a request: its key's owner, or any target if the service isn't
    /// divided by key.
    fn choose(
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
        contract.is_some_and(|contract| {
            contract.holder == self.config.process || self.hears(&contract.holder, now)
        })
    }

    /// Describes a target for the choice between two samples.
    fn candidate(
        &self,
        now: Instant,
        target: &name::Target,
        row: &table::Service,
        own_only: bool,
    ) -> Candidate {
        let usable = self.ledger.has_work(target)
            && !self.is_lost(target)
            && self.has_live_holder(now, target);
        let unknown = Candidate {
            in_flight: 0,
            limit: row.slots,
            latency: Span::ZERO,
            factor_percent: 100,
            usable: usable && !own_only,
        };
        match (self.desks.get(target), self.reports.get(target)) {
            (Some(desk), _) => Candidate {
                in_flight: (desk.queue.running() + desk.queue.waiting()) as u32,
                limit: desk.queue.limit(),
                latency: desk.health.median().unwrap_or_default(),
                factor_percent: desk.health.hint().factor_percent(now),
                usable: usable && desk.yielding.is_none(),
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

    fn pass_on(
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
        let Some(holder) = holder.filter(|holder| !mine && self.hears(holder, now)) else {
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
        let standing = self.quarantine.standing(head.fingerprint);
        if standing == Standing::Barred || self.is_barred(head.fingerprint) {
            return self.refuse(ticket, Refusal::Barred, None, actions);
        }
        if !head.idempotent && self.is_closed_to(now, ticket, target, &head, actions) {
            return;
        }
        if self.is_moving(target, &head.service, head.key) {
            return;
        }
        let offered = admission::Ticket {
            id: queue_id(ticket),
            caller: Caller(head.caller),
            deadline,
            idempotent: head.idempotent,
            alone: standing == Standing::Suspect,
        };
        let Some(desk) = self.desks.get_mut(target) else {
            return;
        };
        let verdict = desk.queue.offer(now, offered);
        if !head.idempotent {
            self.running.insert(head.request, ticket);
        }
        self.set_phase(ticket, Phase::Queued(target.clone()));
        match verdict {
            Verdict::Start => self.begin(now, ticket, target, actions),
            Verdict::Wait => {}
            Verdict::Refuse(refusal, span) => {
                self.refuse(ticket, refusal, Some(span.max(RETRY_AFTER)), actions);
            }
        }
    }

    fn is_barred(&self, fingerprint: request::Fingerprint) -> bool {
        self.ledger.quarantine().contains_key(&fingerprint)
    }

    pub(crate) fn set_phase(&mut self, ticket: Ticket, phase: Phase) {
        if let Some(held) = self.tickets.get_mut(&ticket) {
            held.phase = phase;
        }
    }

    /// Answers a non-idempotent request that may not be sent now, if it is one.
    fn is_closed_to(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        head: &Head,
        actions: &mut Vec<Action>,
    ) -> bool {
        if let Some(intent) = self.tickets[&ticket].intent {
            // Registered and not sent: only the holder that registered it may send it.
            let current = self.desks.get(target).map(|desk| desk.epoch);
            if current == Some(intent.epoch) {
                return false;
            }
            self.refuse(ticket, Refusal::Unreachable, Some(RETRY_AFTER), actions);
            return true;
        }
        if self.is_repeated(ticket, head.request, actions) {
            return true;
        }
        let lease = self.config.times.lease;
        let down = !self.ownership.lease().is_recent(now, lease);
        if down {
            self.refuse(ticket, Refusal::LogDown, Some(RETRY_AFTER), actions);
        }
        down
    }

    /// Answers a repeated non-idempotent request, if it is one.
    fn is_repeated(
        &mut self,
        ticket: Ticket,
        request: request::Id,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self
            .running
            .get(&request)
            .is_some_and(|first| *first != ticket);
        let ended = self.ended.get(&request).copied();
        let intent = self.ledger.intent(&request);
        match (intent.map(|intent| intent.status.or(ended)), running) {
            (Some(Some(status)), _) => {
                self.close(ticket);
                actions.push(Action::Recall {
                    ticket,
                    request,
                    status,
                });
            }
            (_, true) => self.refuse(ticket, Refusal::Running, Some(RETRY_AFTER), actions),
            (Some(None), false) => self.refuse(ticket, Refusal::Duplicate, None, actions),
            (None, false) => return false,
        }
        true
    }

    fn is_moving(
        &self,
        target: &name::Target,
        service: &name::Service,
        key: Option<Digest>,
    ) -> bool {
        let handover = self
            .desks
            .get(target)
            .and_then(|desk| desk.handover.as_ref());
        let row = self.ledger.table().services.get(service);
        let (Some(handover), Some(row)) = (handover, row) else {
            return false;
        };
        !row.divided_by_key || key.is_some_and(|key| handover.has(key, row.slices))
    }

    /// Carries out what a target's queue decided about waiting requests.
    pub(crate) fn carry_out(
        &mut self,
        now: Instant,
        target: &name::Target,
        decisions: Vec<Decision>,
        actions: &mut Vec<Action>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Start(offered) => {
                    self.begin(now, desk::ticket(offered.id), target, actions);
                }
                Decision::Refuse(offered, refusal, _) if refusal.may_reroute() => {
                    self.wait_again(desk::ticket(offered.id));
                }
                Decision::Refuse(offered, refusal, span) => {
                    let span = Some(span.max(RETRY_AFTER));
                    self.refuse(desk::ticket(offered.id), refusal, span, actions);
                }
            }
        }
    }

    /// Sends a request that has a slot, or registers it first.
    fn begin(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.tickets.get(&ticket) else {
            return self.free(now, ticket, target, None, actions);
        };
        match held.arrival.head.idempotent || held.intent.is_some() {
            true => self.start(now, ticket, target, actions),
            false => self.register(ticket, target, actions),
        }
    }

    /// Writes the intent of a non-idempotent request before it is sent.
    fn register(&mut self, ticket: Ticket, target: &name::Target, actions: &mut Vec<Action>) {
        let id = self.next_entry();
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        held.phase = Phase::Registering(target.clone(), id);
        let record = Record::Intent {
            target: target.clone(),
            epoch: self.desks[target].epoch,
            requests: vec![held.arrival.head.request],
        };
        self.append_as(id, "request may run once", record, actions);
    }

    /// Follows an intent's record: the request is sent if the record took effect.
    pub(crate) fn registered(
        &mut self,
        now: Instant,
        entry: &Entry,
        request: request::Id,
        intent: Intent,
        actions: &mut Vec<Action>,
    ) {
        let known = self.ledger.intent(&request);
        let applied = known.is_some_and(|known| known.offset == intent.offset);
        let ticket = self.running.get(&request).copied();
        let phase = ticket.and_then(|ticket| Some(self.tickets.get(&ticket)?.phase.clone()));
        let waiting = match (ticket, phase) {
            (Some(ticket), Some(Phase::Registering(target, id))) if id == entry.id => {
                Some((ticket, target))
            }
            _ => None,
        };
        let Some((ticket, target)) = waiting else {
            let own = entry.actor == self.config.process.to_string();
            if applied && own {
                self.withdraw(request, intent.offset, actions);
            }
            return;
        };
        if applied {
            if let Some(held) = self.tickets.get_mut(&ticket) {
                held.intent = Some(intent);
            }
            self.start(now, ticket, &target, actions);
        } else {
            self.wait_again(ticket);
            self.free(now, ticket, &target, None, actions);
        }
    }

    /// Takes back the intent of a request that was not sent and will not be.
    fn withdraw(&mut self, request: request::Id, offset: Offset, actions: &mut Vec<Action>) {
        let requests = vec![(request, offset)];
        self.append(
            "request was not sent",
            Record::Withdraw { requests },
            actions,
        );
    }

    fn start(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        actions: &mut Vec<Action>,
    ) {
        let times = &self.config.times;
        // A request that was registered before admission ended is sent, or its id would be taken
        // without a run.
        let released = self.desks.get(target).is_none_or(|desk| desk.released);
        let epoch = match released {
            true => self.ownership.epoch(target, now, times),
            false => self.ownership.last_epoch(target, now, times),
        };
        let until = self.ownership.lease_end(target, times);
        let row = self.ledger.table().target(target);
        let (Some(epoch), Some(until), Some((_, _, row))) = (epoch, until, row) else {
            let lapsed = Finish::Unsent { lapsed: true };
            return self.finish_running(now, ticket, target, lapsed, actions);
        };
        let address = row.address;
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return;
        };
        held.phase = Phase::Running(target.clone(), now);
        actions.push(Action::Start(Start {
            ticket,
            target: target.clone(),
            address,
            epoch,
            until,
            deadline: held.arrival.deadline,
        }));
        let deadline = held.arrival.deadline;
        if let Some(desk) = self.desks.get_mut(target) {
            desk.last_deadline = desk.last_deadline.max(deadline);
        }
    }

    pub(crate) fn finish(
        &mut self,
        now: Instant,
        ticket: Ticket,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        let phase = self.tickets.get(&ticket).map(|held| held.phase.clone());
        match phase {
            Some(Phase::Running(target, _)) => {
                self.finish_running(now, ticket, &target, result, actions);
            }
            Some(Phase::Forwarded(_)) => self.finish_forwarded(now, ticket, result, actions),
            _ => {}
        }
    }

    fn finish_running(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let head = held.arrival.head.clone();
        let busy = match held.phase {
            Phase::Running(_, since) => now.since(since),
            _ => Span::ZERO,
        };
        match result {
            Finish::Answered(status) => {
                self.count_late(now, target, ticket);
                self.observe(now, target, Observation::Answered(busy), &head, busy);
                self.quarantine.acquit(head.fingerprint);
                self.end(ticket, status, actions);
                self.free(now, ticket, target, Some(busy), actions);
            }
            Finish::Cut(status) => {
                self.end(ticket, status, actions);
                self.free(now, ticket, target, None, actions);
            }
            Finish::Unsent { .. } | Finish::Shed => {
                let seen = match result {
                    Finish::Shed => Some(Observation::Shed),
                    Finish::Unsent { lapsed: false } => Some(Observation::Unreachable),
                    _ => None,
                };
                if let Some(seen) = seen {
                    self.observe(now, target, seen, &head, Span::ZERO);
                }
                self.wait_again(ticket);
                if !self.may_retry(&head.service) {
                    self.refuse(ticket, Refusal::Unreachable, Some(RETRY_AFTER), actions);
                }
                self.free(now, ticket, target, None, actions);
            }
            _ => {
                // It was sent, so that its intent must stay.
                if let Some(held) = self.tickets.get_mut(&ticket) {
                    held.intent = None;
                    held.sent = true;
                }
                self.suspend(now, ticket, target, actions);
            }
        }
    }

    /// Notes what a request showed of its target, and what it cost there.
    fn observe(
        &mut self,
        now: Instant,
        target: &name::Target,
        seen: Observation,
        head: &Head,
        busy: Span,
    ) {
        let row = self.ledger.table().services.get(&head.service);
        let slices = row.map_or(1, |row| row.slices);
        let Some(desk) = self.desks.get_mut(target) else {
            return;
        };
        desk.health.observe(now, seen);
        if busy > Span::ZERO {
            let slice = head.key.unwrap_or(head.request.key).slice(slices);
            desk.charge(slice, head.key, busy);
        }
    }

    fn count_late(&mut self, now: Instant, target: &name::Target, ticket: Ticket) {
        let deadline = self.tickets.get(&ticket).map(|held| held.arrival.deadline);
        let late = deadline.is_some_and(|deadline| deadline < now);
        if let Some(desk) = self.desks.get_mut(target).filter(|_| late) {
            desk.late += 1;
        }
    }

    /// Ends a request whose answer was passed on.
    fn end(&mut self, ticket: Ticket, status: u16, actions: &mut Vec<Action>) {
        let Some(held) = self.close(ticket) else {
            return;
        };
        let head = held.arrival.head;
        if !head.idempotent {
            self.ended.insert(head.request, status);
            let requests = vec![(head.request, status)];
            self.append("request ended", Record::Outcome { requests }, actions);
        }
    }

    /// Takes one retry from the budget of a service.
    pub(crate) fn may_retry(&mut self, service: &name::Service) -> bool {
        let budget = self.retries.get_mut(service);
        budget.is_none_or(Budget::withdraw)
    }

    fn count_request(&mut self, service: &name::Service) {
        let Some(row) = self.ledger.table().services.get(service) else {
            return;
        };
        let percent = row.retry_percent;
        let budget = self.retries.entry(service.clone());
        let full = || {
            let mut budget = Budget::new(percent, RETRY_BURST);
            (0..RETRY_BURST).for_each(|_| budget.deposit());
            budget
        };
        budget.or_insert_with(full).deposit();
    }

    fn finish_forwarded(
        &mut self,
        now: Instant,
        ticket: Ticket,
        result: Finish,
        actions: &mut Vec<Action>,
    ) {
        match result {
            Finish::Answered(_) | Finish::Cut(_) => {
                self.close(ticket);
            }
            Finish::Refused { refusal, offset } if refusal.may_reroute() => {
                if let Some(held) = self.tickets.get_mut(&ticket) {
                    held.arrival.known = held.arrival.known.max(offset);
                    held.phase = Phase::Waiting;
                }
                if refusal != Refusal::NotMine {
                    return;
                }
                self.route(now, ticket, actions);
            }
            Finish::Refused { refusal, .. } => self.refuse(ticket, refusal, None, actions),
            result => {
                if let Some(held) = self.tickets.get_mut(&ticket) {
                    held.sent |= !matches!(result, Finish::Unsent { .. });
                }
                self.wait_again(ticket);
            }
        }
    }

    pub(crate) fn wait_again(&mut self, ticket: Ticket) {
        self.set_phase(ticket, Phase::Waiting);
    }

    /// Frees the slot of a request. `busy` is given if its answer is complete.
    pub(crate) fn free(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: &name::Target,
        busy: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        let mut decisions = Vec::new();
        if let Some(desk) = self.desks.get_mut(target) {
            let id = queue_id(ticket);
            match busy {
                Some(_) => desk.queue.finish(now, id, &mut decisions),
                None => desk.queue.release(now, id, &mut decisions),
            }
        }
        self.carry_out(now, target, decisions, actions);
    }

    /// Handles a caller that went away: idempotent work is cancelled, other work runs to its end.
    pub(crate) fn leave(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let idempotent = held.arrival.head.idempotent;
        match held.phase.clone() {
            Phase::Running(target, _) | Phase::Suspended(target) if idempotent => {
                actions.push(Action::Cancel(ticket));
                self.close(ticket);
                self.free(now, ticket, &target, None, actions);
            }
            Phase::Forwarded(_) if idempotent => {
                actions.push(Action::Cancel(ticket));
                self.close(ticket);
            }
            Phase::Queued(target) => {
                if let Some(desk) = self.desks.get_mut(&target) {
                    desk.queue.cancel(queue_id(ticket));
                }
                self.close(ticket);
            }
            Phase::Waiting => {
                self.close(ticket);
            }
            _ => {}
        }
    }

    /// Refuses requests whose deadline has passed before they were started.
    pub(crate) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let targets: Vec<name::Target> = self.desks.keys().cloned().collect();
        for target in targets {
            let mut decisions = Vec::new();
            if let Some(desk) = self.desks.get_mut(&target) {
                desk.queue.expire(now, &mut decisions);
            }
            self.carry_out(now, &target, decisions, actions);
        }
        let late = self.tickets.iter();
        let late = late.filter(|(_, held)| held.arrival.deadline <= now);
        let late: Vec<(Ticket, Phase)> = late
            .map(|(ticket, held)| (*ticket, held.phase.clone()))
            .collect();
        for (ticket, phase) in late {
            match phase {
                Phase::Waiting => self.refuse(ticket, Refusal::NoHolder, None, actions),
                Phase::Registering(target, _) => {
                    self.refuse(ticket, Refusal::LogDown, Some(RETRY_AFTER), actions);
                    self.free(now, ticket, &target, None, actions);
                }
                Phase::Suspended(_) => self.refuse(ticket, Refusal::Broken, None, actions),
                _ => {}
            }
        }
    }

    pub(crate) fn refuse(
        &mut self,
        ticket: Ticket,
        refusal: Refusal,
        retry_after: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        let held = self.close(ticket);
        let may_have_run = held.as_ref().is_some_and(|held| held.sent);
        // An earlier attempt may have run, which a refusal as not run would deny.
        let refusal = match refusal.run() {
            Run::NotRun if may_have_run => Refusal::Broken,
            _ => refusal,
        };
        let unsent = held.filter(|held| !matches!(held.phase, Phase::Running(_, _)));
        if let Some(held) = unsent
            && let Some(intent) = held.intent
        {
            self.withdraw(held.arrival.head.request, intent.offset, actions);
        }
        actions.push(Action::Refuse {
            ticket,
            refusal,
            retry_after,
            offset: self.ledger.offset(),
        });
    }
}
