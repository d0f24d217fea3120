//! Admission of requests to one target: slots, connections, a bounded fair queue, refusals.

use crate::{
    estimate::Estimate,
    lane::{Lane, Waiting},
    request::{self, Refusal},
    table,
    time::{Instant, Span},
};

const ORDINARY: usize = 0;
const RESERVED: usize = 1;

/// Hash of the caller that requests are shared out by.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Caller(pub u64);

/// Limits of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// Connections that the target accepts from its holder.
    pub connections: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Slots kept for non-idempotent requests, in per cent, rounded up to whole slots.
    pub reserved_percent: u32,
}

impl From<&table::Service> for Settings {
    fn from(row: &table::Service) -> Self {
        Self {
            slots: row.slots,
            connections: row.connections,
            queue: row.queue,
            reserved_percent: row.reserved_percent,
        }
    }
}

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The request.
    pub id: request::Id,
    /// Caller that it counts towards.
    pub caller: Caller,
    /// When its answer is due.
    pub deadline: Instant,
    /// True if it may run more than once. Only other requests may use reserved slots.
    pub idempotent: bool,
    /// True if nothing else may run on the target at the same time.
    pub alone: bool,
}

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It has a slot and must be sent now.
    Start,
    /// It waits; a later [`Decision`] names it.
    Wait,
    /// It does not run. The span is an estimate of when a retry would be admitted.
    Refuse(Refusal, Span),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It has a slot and must be sent now.
    Start(Ticket),
    /// It does not run. The span is an estimate of when a retry would be admitted.
    Refuse(Ticket, Refusal, Span),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    started: Instant,
}

/// Slots, connections and queue of one target.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    limit: u32,
    running: Vec<Running>,
    streaming: Vec<request::Id>,
    lanes: [Lane; 2],
    turn: usize,
    estimate: Estimate,
}

impl Queue {
    /// Creates an idle queue whose limit is one slot, as for a cold target.
    pub fn new(settings: Settings) -> Self {
        Self {
            limit: 1,
            running: Vec::with_capacity(settings.slots as usize),
            streaming: Vec::with_capacity(settings.connections as usize),
            lanes: Default::default(),
            turn: ORDINARY,
            estimate: Estimate::default(),
            settings,
        }
    }

    /// Applies changed limits. Requests that run above a lower limit are not interrupted.
    pub fn configure(&mut self, settings: Settings) {
        self.limit = self.limit.min(settings.slots);
        self.settings = settings;
    }

    /// Asks for a slot. Does not allocate when the request starts at once.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Verdict {
        if ticket.deadline <= now {
            return Verdict::Refuse(Refusal::Late, Span::ZERO);
        }
        let lane = lane(&ticket);
        if self.lanes[lane].len() == 0 && self.may_start(&ticket) {
            self.start(now, ticket);
            return Verdict::Start;
        }
        let wait = self.wait(now, &ticket);
        if self.waiting() >= self.settings.queue as usize {
            return Verdict::Refuse(Refusal::Full, Span(wait.0 / 2));
        }
        let budget = ticket.deadline.since(now);
        let needed = wait + self.estimate.allowance(budget);
        if needed > budget {
            return Verdict::Refuse(Refusal::Late, needed - budget);
        }
        let arrived = now;
        self.lanes[lane].push(Waiting { ticket, arrived });
        Verdict::Wait
    }

    /// Frees the slot and connection of a request whose answer is complete.
    pub fn finish(&mut self, now: Instant, id: request::Id, out: &mut Vec<Decision>) {
        if let Some(running) = self.take(id) {
            self.estimate.record(now, now.since(running.started));
        }
        self.streaming.retain(|streaming| *streaming != id);
        self.dispatch(now, out);
    }

    /// Frees the slot of a request that the target has done while its answer still streams.
    /// The connection stays counted until [`Queue::finish`].
    pub fn respond(&mut self, now: Instant, id: request::Id, out: &mut Vec<Decision>) {
        if let Some(running) = self.take(id) {
            self.estimate.record(now, now.since(running.started));
            self.streaming.push(id);
        }
        self.dispatch(now, out);
    }

    /// Frees the slot and connection of a request that ended without a complete answer, whose
    /// duration says nothing of the target's speed.
    pub fn release(&mut self, now: Instant, id: request::Id, out: &mut Vec<Decision>) {
        self.take(id);
        self.streaming.retain(|streaming| *streaming != id);
        self.dispatch(now, out);
    }

    /// Removes a waiting request; it does not run. Returns false if it does not wait.
    pub fn cancel(&mut self, id: request::Id) -> bool {
        self.lanes.iter_mut().any(|lane| lane.remove(id))
    }

    /// Refuses the waiting requests that can no longer be answered in time.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let estimate = &self.estimate;
        let mut late = Vec::new();
        for lane in &mut self.lanes {
            late.extend(lane.extract(|waiting| is_late(estimate, now, waiting)));
        }
        for waiting in late {
            out.push(self.refuse(now, &waiting));
        }
        self.dispatch(now, out);
    }

    /// Refuses all waiting requests, because the target is lost or its slices move.
    pub fn clear(&mut self, refusal: Refusal, out: &mut Vec<Decision>) {
        for lane in &mut self.lanes {
            let all = lane.extract(|_| true);
            let refuse = |waiting: Waiting| Decision::Refuse(waiting.ticket, refusal, Span::ZERO);
            out.extend(all.into_iter().map(refuse));
        }
    }

    /// Sets how many requests may run, up to the target's slots. At zero, requests wait until
    /// the target is heard again. Requests that run above a lower limit are not interrupted.
    pub fn set_limit(&mut self, now: Instant, limit: u32, out: &mut Vec<Decision>) {
        self.limit = limit.min(self.settings.slots);
        self.dispatch(now, out);
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the requests that run.
    pub fn in_flight(&self) -> impl Iterator<Item = request::Id> {
        self.running.iter().map(|running| running.ticket.id)
    }

    /// Returns the number of connections in use.
    pub fn connections(&self) -> usize {
        self.running.len() + self.streaming.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lanes.iter().map(Lane::len).sum()
    }

    /// Returns the mean service time, or zero before the first finished request.
    pub fn service_time(&self) -> Span {
        self.estimate.mean()
    }

    /// Returns the earliest deadline of a waiting request: when to call [`Queue::expire`].
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.lanes.iter().flat_map(Lane::iter);
        waiting.map(|waiting| waiting.ticket.deadline).min()
    }

    /// Estimates how long a new request would wait for a slot.
    pub fn wait(&self, now: Instant, ticket: &Ticket) -> Span {
        let lane = lane(ticket);
        let ahead = self.lanes[lane].ahead(ticket.caller) + 1;
        let other = self.lanes[1 - lane].len().min(ahead);
        let slots = match ticket.idempotent && other == 0 {
            true => self.ordinary_limit(),
            false => self.limit,
        };
        // Without a running request the time since the last one says nothing of a stall.
        let gap = match self.running.is_empty() {
            true => self.estimate.usual_gap(slots),
            false => self.estimate.gap(now, slots),
        };
        Span(gap.0 * (ahead + other) as u64)
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<Decision>) {
        while let Some(lane) = self.next_lane() {
            let Some(waiting) = self.lanes[lane].pop() else {
                return;
            };
            if is_late(&self.estimate, now, &waiting) {
                out.push(self.refuse(now, &waiting));
                continue;
            }
            self.turn = 1 - lane;
            self.start(now, waiting.ticket);
            out.push(Decision::Start(waiting.ticket));
        }
    }

    fn next_lane(&self) -> Option<usize> {
        let may = |lane: &usize| {
            let head = self.lanes[*lane].head();
            head.is_some_and(|waiting| self.may_start(&waiting.ticket))
        };
        [self.turn, 1 - self.turn].into_iter().find(may)
    }

    fn may_start(&self, ticket: &Ticket) -> bool {
        let full = self.running.len() >= self.limit as usize
            || self.connections() >= self.settings.connections as usize;
        if full || self.running.iter().any(|running| running.ticket.alone) {
            return false;
        }
        if ticket.alone {
            return self.running.is_empty();
        }
        // Other requests hold back so that the target becomes empty for one that runs alone.
        let waits_alone = |lane: &Lane| lane.head().is_some_and(|waiting| waiting.ticket.alone);
        let ordinary = self.running.iter().filter(|r| r.ticket.idempotent).count();
        !self.lanes.iter().any(waits_alone)
            && (!ticket.idempotent || ordinary < self.ordinary_limit() as usize)
    }

    /// Slots that idempotent requests may use: at least one, or a cold target would refuse all.
    fn ordinary_limit(&self) -> u32 {
        let reserved = (self.settings.slots * self.settings.reserved_percent).div_ceil(100);
        self.limit.saturating_sub(reserved).max(1)
    }

    fn start(&mut self, now: Instant, ticket: Ticket) {
        if self.running.is_empty() {
            self.estimate.wake(now);
        }
        let started = now;
        self.running.push(Running { ticket, started });
    }

    fn take(&mut self, id: request::Id) -> Option<Running> {
        let found = self.running.iter().position(|r| r.ticket.id == id)?;
        Some(self.running.swap_remove(found))
    }

    fn refuse(&self, now: Instant, waiting: &Waiting) -> Decision {
        let wait = self.wait(now, &waiting.ticket);
        Decision::Refuse(waiting.ticket, Refusal::Late, wait)
    }
}

fn lane(ticket: &Ticket) -> usize {
    match ticket.idempotent {
        true => ORDINARY,
        false => RESERVED,
    }
}

fn is_late(estimate: &Estimate, now: Instant, waiting: &Waiting) -> bool {
    let budget = waiting.ticket.deadline.since(waiting.arrived);
    now + estimate.least(budget) > waiting.ticket.deadline
}
