//! Admission of requests to one target: slots, connections, a bounded queue that is fair between
//! callers, and refusals.

use crate::{
    backlog::{Backlog, Waiting},
    estimate::Estimate,
    pause::{self, Pause},
    rate_limit::{self, Limit, Rate},
    request::{self, Refusal},
    table,
    time::{Instant, Span},
};

/// Index of the backlog of idempotent requests.
const IDEMPOTENT: usize = 0;
/// Index of the backlog of non-idempotent requests, which may use the reserved slots.
const NON_IDEMPOTENT: usize = 1;

/// Hash of a caller's name. The queue serves callers in turn.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Caller(pub u64);

/// Admission limits of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum number of requests that run on the target at the same time.
    pub slots: u32,
    /// Maximum number of connections from the holder to the target.
    pub connections: u32,
    /// Maximum number of waiting requests.
    pub queue: u32,
    /// Percentage of slots reserved for non-idempotent requests, rounded up to whole slots.
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

/// A request that is offered to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier, unique in the queue.
    pub id: request::Id,
    /// Caller for which it is queued.
    pub caller: Caller,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// True if the request may run more than once. Such requests may not use reserved slots.
    pub idempotent: bool,
    /// True if no other request may run on the target at the same time.
    pub exclusive: bool,
}

/// Result of offering a request to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request has a slot and must be sent now.
    Start,
    /// The request waits in the queue; a later [`Decision`] names it.
    Wait,
    /// The request does not run. The span is the estimated time until a retry would be admitted.
    Refuse(Refusal, Span),
}

/// Decision on a request that waited in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request has a slot and must be sent now.
    Start(Request),
    /// The request does not run. The span is the estimated time until a retry would be admitted.
    Refuse(Request, Refusal, Span),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Request,
    started: Instant,
}

/// Slots, connections and waiting requests of one target.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    limit: u32,
    running: Vec<Running>,
    streaming: Vec<request::Id>,
    backlogs: [Backlog; 2],
    preferred_class: usize,
    estimate: Estimate,
    rate_limit: Limit,
    pause: Pause,
}

impl Queue {
    /// Creates an idle queue with a limit of one slot, as for a cold target.
    pub fn new(settings: Settings) -> Self {
        Self {
            limit: 1,
            running: Vec::with_capacity(settings.slots as usize),
            streaming: Vec::with_capacity(settings.connections as usize),
            backlogs: Default::default(),
            preferred_class: IDEMPOTENT,
            estimate: Estimate::default(),
            rate_limit: Limit::default(),
            pause: Pause::default(),
            settings,
        }
    }

    /// Applies changed limits. Running requests above a lowered limit are not interrupted.
    pub fn configure(&mut self, settings: Settings) {
        self.limit = self.limit.min(settings.slots);
        self.settings = settings;
    }

    /// Requests a slot. Does not allocate memory if the request starts at once.
    pub fn offer(&mut self, now: Instant, request: Request) -> Admission {
        if request.deadline <= now {
            return Admission::Refuse(Refusal::Late, Span::ZERO);
        }
        let waiting = Waiting {
            request,
            arrived: now,
        };
        if let Some(left) = self.pause_left(now)
            && now + left > patience(&waiting)
        {
            return Admission::Refuse(Refusal::Full, left);
        }
        let class = class(&request);
        if self.backlogs[class].len() == 0 && self.may_start(now, &request) {
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
        self.backlogs[class].push(waiting);
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

    /// Frees the slot of a request that the target has finished while its answer still streams.
    /// The connection counts as used until [`Queue::finish`].
    pub fn respond(&mut self, now: Instant, id: request::Id, out: &mut Vec<Decision>) {
        if let Some(running) = self.take(id) {
            self.estimate.record(now, now.since(running.started));
            self.streaming.push(id);
        }
        self.dispatch(now, out);
    }

    /// Frees the slot and connection of a request that ended without a complete answer. Its
    /// duration is not a measure of the target's speed and is not recorded.
    pub fn release(&mut self, now: Instant, id: request::Id, out: &mut Vec<Decision>) {
        self.take(id);
        self.streaming.retain(|streaming| *streaming != id);
        self.dispatch(now, out);
    }

    /// Removes a waiting request, which then does not run. Returns false if it was not waiting.
    pub fn cancel(&mut self, id: request::Id) -> bool {
        self.backlogs.iter_mut().any(|backlog| backlog.remove(id))
    }

    /// Refuses the waiting requests that can no longer be answered before their deadline.
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

    /// Refuses all waiting requests, for example because the target is lost or its slices move.
    pub fn clear(&mut self, refusal: Refusal, out: &mut Vec<Decision>) {
        for backlog in &mut self.backlogs {
            let all = backlog.extract_if(|_| true);
            let refuse = |waiting: Waiting| Decision::Refuse(waiting.request, refusal, Span::ZERO);
            out.extend(all.into_iter().map(refuse));
        }
    }

    /// Sets how many requests may run, up to the target's slots. At zero, requests wait until the
    /// target responds again. Running requests above a lowered limit are not interrupted.
    pub fn set_limit(&mut self, now: Instant, limit: u32, out: &mut Vec<Decision>) {
        self.limit = limit.min(self.settings.slots);
        self.dispatch(now, out);
    }

    /// Records what an answer, or an earlier holder, says about the target's rate limit. Returns
    /// whether a limit came into force, or the one in force ended.
    pub fn record_rate_limit(
        &mut self,
        now: Instant,
        statement: rate_limit::Statement,
        source: rate_limit::Source,
        out: &mut Vec<Decision>,
    ) -> bool {
        let has_changed = self.rate_limit.record(now, statement, source);
        self.dispatch(now, out);
        has_changed
    }

    /// Records for how long the target wants nothing, from an answer on.
    pub fn record_pause(&mut self, answered_at: Instant, time: pause::Time) -> pause::Change {
        self.pause.record(answered_at, time)
    }

    /// Ends the pause, since it was stated by an earlier run of the target.
    pub fn end_pause(&mut self) {
        self.pause = Pause::default();
    }

    /// Returns the time for which the target still wants nothing.
    pub fn pause_left(&self, now: Instant) -> Option<Span> {
        self.pause.left(now)
    }

    /// Refuses the waiting requests that the target will not take in time.
    pub fn refuse_paused(&mut self, now: Instant, out: &mut Vec<Decision>) {
        let Some(left) = self.pause_left(now) else {
            return;
        };
        let end = now + left;
        for backlog in &mut self.backlogs {
            let refused = backlog.extract_if(|waiting| end > patience(waiting));
            let refuse = |waiting: Waiting| Decision::Refuse(waiting.request, Refusal::Full, left);
            out.extend(refused.into_iter().map(refuse));
        }
    }

    /// Returns the rate limit that the target states.
    pub fn rate_limit(&self, now: Instant) -> Option<Rate> {
        self.rate_limit.rate(now)
    }

    /// Returns whether the target's rate limit, if it states one, allows one more request.
    pub fn is_within_rate(&self, now: Instant) -> bool {
        self.time_within_rate(now, 1) == Span::ZERO
    }

    /// Returns the time until the target's rate limit allows `count` more requests.
    fn time_within_rate(&self, now: Instant, count: u32) -> Span {
        // Only this process sends to the target, so its part is the whole limit.
        let rate = self.rate_limit(now);
        rate.map_or(Span::ZERO, |rate| {
            self.rate_limit.time_to(now, rate.part(1), count)
        })
    }

    /// Returns how many requests may run at the moment.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the identifiers of the running requests.
    pub fn in_flight(&self) -> impl Iterator<Item = request::Id> {
        self.running.iter().map(|running| running.request.id)
    }

    /// Returns the number of connections in use.
    pub fn connections(&self) -> usize {
        self.running.len() + self.streaming.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.backlogs.iter().map(Backlog::len).sum()
    }

    /// Returns the mean service time, or zero before the first finished request.
    pub fn service_time(&self) -> Span {
        self.estimate.mean()
    }

    /// Returns the earliest deadline of the waiting requests, when [`Queue::expire`] is due.
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
        // While nothing runs, the time since the last completion does not indicate a stall.
        let interval = match self.running.is_empty() {
            true => self.estimate.mean_interval(slots),
            false => self.estimate.interval(now, slots),
        };
        let turns = ahead + other;
        let wait = Span(interval.0 * turns as u64);
        let pause = self.pause_left(now).unwrap_or_default();
        wait.max(self.time_within_rate(now, turns as u32))
            .max(pause)
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<Decision>) {
        while let Some(class) = self.next_class(now) {
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

    fn next_class(&self, now: Instant) -> Option<usize> {
        let may_start = |class: &usize| {
            let head = self.backlogs[*class].head();
            head.is_some_and(|waiting| self.may_start(now, &waiting.request))
        };
        [self.preferred_class, 1 - self.preferred_class]
            .into_iter()
            .find(may_start)
    }

    fn may_start(&self, now: Instant, request: &Request) -> bool {
        let full = self.pause_left(now).is_some()
            || self.running.len() >= self.limit as usize
            || self.connections() >= self.settings.connections as usize
            || !self.is_within_rate(now);
        if full || self.running.iter().any(|running| running.request.exclusive) {
            return false;
        }
        if request.exclusive {
            return self.running.is_empty();
        }
        // No other request starts while an exclusive one is next, so that the target drains.
        let is_exclusive = |backlog: &Backlog| {
            backlog
                .head()
                .is_some_and(|waiting| waiting.request.exclusive)
        };
        let idempotent = self.running.iter().filter(|r| r.request.idempotent).count();
        !self.backlogs.iter().any(is_exclusive)
            && (!request.idempotent || idempotent < self.idempotent_limit() as usize)
    }

    /// Returns the slots that idempotent requests may use. At least one, since a cold target has a
    /// limit of one slot and would otherwise run no idempotent request.
    fn idempotent_limit(&self) -> u32 {
        let reserved = (self.settings.slots * self.settings.reserved_percent).div_ceil(100);
        self.limit.saturating_sub(reserved).max(1)
    }

    fn start(&mut self, now: Instant, request: Request) {
        if self.running.is_empty() {
            self.estimate.resume(now);
        }
        let part = self.rate_limit(now).map(|rate| rate.part(1));
        self.rate_limit.take(now, part);
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

/// Returns until when a waiting request may wait for the end of a pause.
fn patience(waiting: &Waiting) -> Instant {
    let budget = waiting.request.deadline.since(waiting.arrived);
    pause::patience(waiting.arrived, budget)
}

fn is_late(estimate: &Estimate, now: Instant, waiting: &Waiting) -> bool {
    let budget = waiting.request.deadline.since(waiting.arrived);
    now + estimate.start_allowance(budget) > waiting.request.deadline
}
