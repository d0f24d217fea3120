//! Admission of requests to one target: slots, connections, a bounded fair queue, refusals.

use crate::{
    backlog::{Backlog, Waiting},
    estimate::Estimate,
    request::{self, Refusal},
    table,
    time::{Instant, Span},
};

const IDEMPOTENT: usize = 0;
const NON_IDEMPOTENT: usize = 1;

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
pub struct Request {
    /// The request.
    pub id: request::Id,
    /// Caller that it counts towards.
    pub caller: Caller,
    /// When its answer is due.
    pub deadline: Instant,
    /// True if it may run more than once. Only other requests may use reserved slots.
    pub idempotent: bool,
    /// True if nothing else may run on the target at the same time.
    pub exclusive: bool,
}

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
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
    Start(Request),
    /// It does not run. The span is an estimate of when a retry would be admitted.
    Refuse(Request, Refusal, Span),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Request,
    started: Instant,
}

/// Slots, connections and queue of one target.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    limit: u32,
    running: Vec<Running>,
    streaming: Vec<request::Id>,
    backlogs: [Backlog; 2],
    preferred_class: usize,
    estimate: Estimate,
}

impl Queue {
    /// Creates an idle queue whose limit is one slot, as for a cold target.
    pub fn new(settings: Settings) -> Self {
        Self {
            limit: 1,
            running: Vec::with_capacity(settings.slots as usize),
            streaming: Vec::with_capacity(settings.connections as usize),
            backlogs: Default::default(),
            preferred_class: IDEMPOTENT,
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
    pub fn offer(&mut self, now: Instant, request: Request) -> Admission {
        if request.deadline <= now {
            return Admission::Refuse(Refusal::Late, Span::ZERO);
        }
        let class = class(&request);
        if self.backlogs[class].len() == 0 && self.may_start(&request) {
            self.start(now, request);
            return Admission::Start;
        }
        let wait = self.estimated_wait(now, &request);
        if self.waiting() >= self.settings.queue as usize {
            return Admission::Refuse(Refusal::Full, Span(wait.0 / 2));
        }
        let budget = request.deadline.since(now);
        let needed = wait + self.estimate.queue_allowance(budget);
        if needed > budget {
            return Admission::Refuse(Refusal::Late, needed - budget);
        }
        let arrived = now;
        self.backlogs[class].push(Waiting { request, arrived });
        Admission::Wait
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
        self.backlogs.iter_mut().any(|backlog| backlog.remove(id))
    }

    /// Refuses the waiting requests that can no longer be answered in time.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let estimate = &self.estimate;
        let mut late = Vec::new();
        for backlog in &mut self.backlogs {
            late.extend(backlog.extract_if(|waiting| is_late(estimate, now, waiting)));
        }
        for waiting in late {
            out.push(self.refuse(now, &waiting));
        }
        self.dispatch(now, out);
    }

    /// Refuses all waiting requests, because the target is lost or its slices move.
    pub fn clear(&mut self, refusal: Refusal, out: &mut Vec<Decision>) {
        for backlog in &mut self.backlogs {
            let all = backlog.extract_if(|_| true);
            let refuse = |waiting: Waiting| Decision::Refuse(waiting.request, refusal, Span::ZERO);
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
        self.running.iter().map(|running| running.request.id)
    }

    /// Returns the number of connections in use.
    pub fn connections(&self) -> usize {
        self.running.len() + self.streaming.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.backlogs.iter().map(Backlog::len).sum()
    }

    /// Returns the mean service time, or zero before the first finished request.
    pub fn service_time(&self) -> Span {
        self.estimate.mean()
    }

    /// Returns the earliest deadline of a waiting request: when to call [`Queue::expire`].
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.backlogs.iter().flat_map(Backlog::iter);
        waiting.map(|waiting| waiting.request.deadline).min()
    }

    /// Estimates how long a new request would wait for a slot.
    pub fn estimated_wait(&self, now: Instant, request: &Request) -> Span {
        let class = class(request);
        let ahead = self.backlogs[class].ahead(request.caller) + 1;
        let other = self.backlogs[1 - class].len().min(ahead);
        let slots = match request.idempotent && other == 0 {
            true => self.idempotent_limit(),
            false => self.limit,
        };
        // Without a running request the time since the last one says nothing of a stall.
        let interval = match self.running.is_empty() {
            true => self.estimate.mean_interval(slots),
            false => self.estimate.interval(now, slots),
        };
        Span(interval.0 * (ahead + other) as u64)
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<Decision>) {
        while let Some(class) = self.next_class() {
            let Some(waiting) = self.backlogs[class].pop() else {
                return;
            };
            if is_late(&self.estimate, now, &waiting) {
                out.push(self.refuse(now, &waiting));
                continue;
            }
            self.preferred_class = 1 - class;
            self.start(now, waiting.request);
            out.push(Decision::Start(waiting.request));
        }
    }

    fn next_class(&self) -> Option<usize> {
        let may_start = |class: &usize| {
            let head = self.backlogs[*class].head();
            head.is_some_and(|waiting| self.may_start(&waiting.request))
        };
        [self.preferred_class, 1 - self.preferred_class]
            .into_iter()
            .find(may_start)
    }

    fn may_start(&self, request: &Request) -> bool {
        let full = self.running.len() >= self.limit as usize
            || self.connections() >= self.settings.connections as usize;
        if full || self.running.iter().any(|running| running.request.exclusive) {
            return false;
        }
        if request.exclusive {
            return self.running.is_empty();
        }
        // Other requests hold back so that the target becomes empty for one that runs alone.
        let is_exclusive = |backlog: &Backlog| {
            backlog
                .head()
                .is_some_and(|waiting| waiting.request.exclusive)
        };
        let idempotent = self.running.iter().filter(|r| r.request.idempotent).count();
        !self.backlogs.iter().any(is_exclusive)
            && (!request.idempotent || idempotent < self.idempotent_limit() as usize)
    }

    /// Slots that idempotent requests may use: at least one, or a cold target would refuse all.
    fn idempotent_limit(&self) -> u32 {
        let reserved = (self.settings.slots * self.settings.reserved_percent).div_ceil(100);
        self.limit.saturating_sub(reserved).max(1)
    }

    fn start(&mut self, now: Instant, request: Request) {
        if self.running.is_empty() {
            self.estimate.resume(now);
        }
        let started = now;
        self.running.push(Running { request, started });
    }

    fn take(&mut self, id: request::Id) -> Option<Running> {
        let found = self.running.iter().position(|r| r.request.id == id)?;
        Some(self.running.swap_remove(found))
    }

    fn refuse(&self, now: Instant, waiting: &Waiting) -> Decision {
        let wait = self.estimated_wait(now, &waiting.request);
        Decision::Refuse(waiting.request, Refusal::Late, wait)
    }
}

fn class(request: &Request) -> usize {
    match request.idempotent {
        true => IDEMPOTENT,
        false => NON_IDEMPOTENT,
    }
}

fn is_late(estimate: &Estimate, now: Instant, waiting: &Waiting) -> bool {
    let budget = waiting.request.deadline.since(waiting.arrived);
    now + estimate.start_allowance(budget) > waiting.request.deadline
}
