//! Ownership of the keys of one service: the orders that its ranges need, and their next plan.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    bucket::Bucket,
    name,
    time::{Instant, Span},
};

use super::{Action, Clearance, Evidence, Operation, Order, Response, Tick, expiry};
use crate::{
    assignment::{Assignment, Key, PreviousOwner, Range, State},
    fleet::Fleet,
    plan,
    registration::Incarnation,
    traffic::Traffic,
};

/// Time from the response to a grant until it is renewed.
const RENEWAL_INTERVAL: Span = Span::from_millis(1_000);
/// Maximum number of orders that are sent at once for one service. A host with a small share of a
/// core can't process the responses of hundreds of targets in time.
const ORDER_BURST: f64 = 24.0;
/// Orders per second for each range of a service. A renewal a second is due for each; the others are
/// for moves.
const ORDERS_PER_RANGE: f64 = 2.0;
/// Orders per second that a service may have in addition, however few ranges it has.
const BASE_ORDERS_PER_S: f64 = 100.0;
/// Upper bound of the delay added to a renewal, so that renewals are not all due at once.
const RENEWAL_JITTER: Span = Span::from_millis(300);
/// Time after an order that failed or got no response until the next order for its range.
const RETRY_BACKOFF: Span = Span::from_millis(300);
/// Consecutive orders without a response after which a target loses its keys.
const MAX_UNANSWERED: u32 = 3;
/// Time without a new target after which the first assignment is made.
const DISCOVERY_IDLE: Span = Span::from_millis(1_500);
/// Maximum time from the first target to the first assignment.
const MAX_DISCOVERY: Span = Span::from_millis(4_000);
/// Minimum time between two checks of the balance.
const BALANCE_INTERVAL: Span = Span::from_millis(400);
/// Microseconds in a second.
const US_PER_SECOND: f64 = 1e6;

/// Progress of the move of one range.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Epochs of the releases of previous owners that can't hold the keys any more. They are not
    /// kept by target, since keys may return to one before the move has ended.
    cleared: BTreeSet<u64>,
    /// Token from the last release; with it, the keys are not cold.
    handover: Option<String>,
    /// Whether a grant may have been sent to the new owner.
    is_granted: bool,
    /// Whether the new owner has confirmed its grant.
    is_confirmed: bool,
}

/// Progress of the wait for targets to register before the first assignment.
#[derive(Clone, Copy, Debug)]
struct Discovery {
    since: Instant,
    grown_at: Instant,
    count: usize,
}

/// Ownership of the keys of one service. Ranges are identified by their epochs.
#[derive(Clone, Debug, Default)]
pub(super) struct Partition {
    /// Ranges as written to the log.
    durable: Assignment,
    /// Ranges with the change that is being written.
    draft: Option<Assignment>,
    moves: BTreeMap<u64, Progress>,
    /// Ranges whose owner refused the grant because it has seen a higher epoch.
    refused: BTreeSet<u64>,
    /// Time at which the next order for a range is due.
    due: BTreeMap<u64, Instant>,
    /// Ranges with an order whose response is outstanding.
    in_flight: BTreeSet<u64>,
    /// Time at which the last grant to a target expires.
    grants_end: BTreeMap<Incarnation, Instant>,
    /// Consecutive orders that got no response, by target.
    unanswered: BTreeMap<Incarnation, u32>,
    /// Targets that the last order did not reach, since this host has lost its link to them.
    unreached: BTreeSet<Incarnation>,
    /// Whether no serving target responds, so that those that do not are tried again.
    retries_unresponsive: bool,
    /// Targets that have ended: another target responded at their address.
    ended: BTreeSet<Incarnation>,
    discovery: Option<Discovery>,
    /// Ranges whose owner has seen a higher epoch than the log has, so that a target that is not
    /// known may hold the keys by a grant of an earlier leader.
    contested: Vec<(Key, Key)>,
    /// Ranges of a recovered assignment that their owners have not confirmed.
    unconfirmed: BTreeSet<u64>,
    /// Time of the last check of the balance.
    balanced_at: Instant,
    /// Orders that may be sent now.
    budget: Bucket,
    /// Previous owners that were cleared since the last tick.
    clearances: Vec<Clearance>,
}

impl Partition {
    pub(super) fn new(durable: Assignment) -> Self {
        // The earlier leader may already have granted a moving range to its new owner.
        let moving = durable.ranges.iter().filter(|range| !range.is_held());
        let granted = |range: &Range| {
            let progress = Progress {
                is_granted: true,
                ..Progress::default()
            };
            (range.epoch, progress)
        };
        Self {
            moves: moving.map(granted).collect(),
            durable,
            ..Self::default()
        }
    }

    /// Makes each range wait for its owner's confirmation before its keys move.
    pub(super) fn distrust(&mut self) {
        let ranges = self.durable.ranges.iter();
        self.unconfirmed = ranges.map(|range| range.epoch).collect();
    }

    /// Tells whether an unknown target may hold keys of a range by a grant of an earlier leader.
    fn is_uncertain(&self, range: &Range) -> bool {
        self.unconfirmed.contains(&range.epoch) || self.is_contested(range)
    }

    /// Tells whether more than half of at least three owners do not respond, which suggests that
    /// this host's own network is cut off. Owners without an entry may have ended, and no other host
    /// would reach them.
    pub(super) fn is_isolated(&self, tick: &Tick<'_>) -> bool {
        let mut owners: BTreeSet<&Incarnation> =
            self.durable.ranges.iter().map(|r| &r.owner).collect();
        let moving = self
            .durable
            .ranges
            .iter()
            .filter_map(|range| match &range.state {
                State::Held => None,
                State::Moving(previous) => Some(previous),
            });
        owners.extend(moving.flatten().map(|previous| &previous.target));
        if tick.is_current {
            owners.retain(|owner| tick.fleet.lists(owner));
        }
        let unresponsive = |target: &&&Incarnation| {
            self.unanswered
                .get(**target)
                .is_some_and(|n| *n >= MAX_UNANSWERED)
        };
        owners.len() >= 3 && owners.iter().filter(unresponsive).count() * 2 > owners.len()
    }

    /// Tells whether a change is being written.
    pub(super) fn is_writing(&self) -> bool {
        self.draft.is_some()
    }

    /// Plans the next change, and returns the ranges to write for it.
    pub(super) fn draft_change(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
    ) -> Option<Vec<Range>> {
        let draft = self.plan(service, tick, earlier_grants_end)?;
        let changes = draft.changes(&self.durable).cloned().collect();
        self.draft = Some(draft);
        Some(changes)
    }

    /// Sends the orders that the written assignment requires.
    pub(super) fn issue_orders(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.retries_unresponsive = !tick.fleet.serving(service).any(|target| {
            let target = &target.registration.incarnation;
            !self.is_unresponsive(target) && !self.ended.contains(target)
        });
        let draft = self.draft.as_ref();
        let kept = draft.map(|draft| {
            let ranges = draft.ranges.iter();
            ranges.map(|range| (range.epoch, (range.first, range.last)))
        });
        let kept: Option<BTreeMap<u64, (Key, Key)>> = kept.map(Iterator::collect);
        let is_due = |range: &&Range| {
            let due = self.due.get(&range.epoch);
            let is_in_flight = self.in_flight.contains(&range.epoch);
            !is_in_flight && due.is_none_or(|due| *due <= tick.now)
        };
        // A range that the draft replaces gets no order. The draft does not list an owner that is
        // granted the range only now as a previous one, so the next owner would be granted the keys
        // without its release. Of a range that gets shorter, the keys that move are not renewed: the
        // grant could arrive after their release.
        let keep = |mut range: Range| {
            if let Some(kept) = &kept {
                (range.first, range.last) = *kept.get(&range.epoch)?;
            }
            Some(range)
        };
        let due = self.durable.ranges.iter().filter(is_due).cloned();
        let mut due: Vec<Range> = due.filter_map(keep).collect();
        due.sort_by_key(|range| self.due.get(&range.epoch).copied());
        let rate = BASE_ORDERS_PER_S + ORDERS_PER_RANGE * self.durable.ranges.len() as f64;
        for range in due {
            // Only sent orders count: ranges that can't have one yet must not delay the renewals of
            // others.
            if !self.budget.has_token(tick.now, rate, ORDER_BURST) {
                break;
            }
            let step = match &range.state {
                State::Held => self.renew(&range, tick),
                State::Moving(previous) => {
                    self.advance(service, &range, previous, tick, earlier_grants_end)
                }
            };
            let Some((target, fence, operation)) = step else {
                continue;
            };
            if let Operation::Grant { hold, .. } = &operation {
                let end = self.grants_end.entry(target.clone()).or_default();
                *end = (*end).max(expiry(tick.now, *hold));
            }
            self.budget.take(tick.now, rate, ORDER_BURST);
            self.in_flight.insert(range.epoch);
            let is_confirmed = !self.unconfirmed.contains(&range.epoch);
            let is_decisive = operation == Operation::Release || !is_confirmed;
            actions.push(Action::Send(Order {
                service: service.clone(),
                range_epoch: range.epoch,
                target,
                first: range.first,
                last: range.last,
                fence,
                operation,
                is_renewal: range.is_held() && is_confirmed,
                is_decisive,
            }));
        }
    }

    fn renew(&self, range: &Range, tick: &Tick<'_>) -> Option<(Incarnation, u64, Operation)> {
        // An owner that has restarted since it refused the epoch would accept it.
        let is_refused = self.refused.contains(&range.epoch);
        if is_refused || tick.is_current && self.must_leave(range, tick.fleet) {
            return None;
        }
        Some((range.owner.clone(), range.epoch, grant(tick.hold, None)))
    }

    /// Returns the next order of a move: the release of a previous owner, or the first grant.
    fn advance(
        &mut self,
        service: &name::Service,
        range: &Range,
        previous: &[PreviousOwner],
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
    ) -> Option<(Incarnation, u64, Operation)> {
        for earlier in previous {
            if self.is_cleared(range, earlier) {
                continue;
            }
            let target = &earlier.target;
            if let Some(evidence) = self.evidence(target, tick, earlier_grants_end) {
                self.clear(service, range, earlier, evidence);
                continue;
            }
            let process = self.successor(target, tick).unwrap_or(target);
            return Some((process.clone(), earlier.fence, Operation::Release));
        }
        if self.must_leave(range, tick.fleet) {
            return None;
        }
        if tick.now < earlier_grants_end && self.is_uncertain(range) {
            return None;
        }
        let progress = self.moves.entry(range.epoch).or_default();
        progress.is_granted = true;
        let handover = progress.handover.clone();
        Some((range.owner.clone(), range.epoch, grant(tick.hold, handover)))
    }

    /// Returns the evidence that a previous owner that has not released its keys can't hold them any
    /// more, if there is any.
    fn evidence(
        &self,
        target: &Incarnation,
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
    ) -> Option<Evidence> {
        if self.ended.contains(target) {
            return Some(Evidence::Ended);
        }
        let end = self.grants_end.get(target).copied().unwrap_or_default();
        // A responsive target is always sent a release: that is faster than waiting for its grant
        // to expire, and returns a handover token.
        let is_silent = self.is_unresponsive(target) || self.unreached.contains(target);
        let has_expired = is_silent && tick.now >= end.max(earlier_grants_end);
        has_expired.then_some(Evidence::Expired)
    }

    /// Records that a previous owner can't hold the keys of a range any more.
    fn clear(
        &mut self,
        service: &name::Service,
        range: &Range,
        owner: &PreviousOwner,
        evidence: Evidence,
    ) {
        let progress = self.moves.entry(range.epoch).or_default();
        progress.cleared.insert(owner.fence);
        self.clearances.push(Clearance {
            service: service.clone(),
            range_epoch: range.epoch,
            first: range.first,
            last: range.last,
            owner: owner.clone(),
            evidence,
        });
    }

    /// Returns the previous owners that were cleared since the last call.
    pub(super) fn take_clearances(&mut self) -> impl Iterator<Item = Action> + use<> {
        std::mem::take(&mut self.clearances)
            .into_iter()
            .map(Action::Log)
    }

    /// Returns the later incarnation of a target that is registered at another address, unless it
    /// does not answer.
    ///
    /// If it answers a release, the earlier one has ended, since only one process has an id at a
    /// time. Its entry alone proves nothing: another writer may have left it.
    fn successor<'a>(&self, target: &Incarnation, tick: &Tick<'a>) -> Option<&'a Incarnation> {
        let known = tick.fleet.get(&target.id).filter(|_| tick.is_current)?;
        let known = &known.registration.incarnation;
        let is_later = target.start_ms > 0 && known.start_ms > target.start_ms;
        let is_elsewhere = is_later && known.address != target.address;
        let may_answer = !self.ended.contains(known) && !self.is_unresponsive(known);
        (is_elsewhere && may_answer).then_some(known)
    }

    fn plan(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_grants_end: Instant,
    ) -> Option<Assignment> {
        if tick.now >= earlier_grants_end {
            self.unconfirmed.clear();
        }
        if let Some(confirmed) = self.confirmed() {
            return Some(confirmed);
        }
        let owners: Vec<plan::Owner> = tick
            .fleet
            .serving(service)
            .filter(|target| self.may_own(&target.registration.incarnation))
            .map(|target| plan::Owner {
                target: target.registration.incarnation.clone(),
                is_cold: target.cold_until > tick.now,
                is_limited: (tick.rate_limit)(&target.registration.incarnation).is_some(),
            })
            .collect();
        if owners.is_empty() {
            return None;
        }
        if self.durable.ranges.is_empty() && self.awaits_targets(tick.now, owners.len()) {
            return None;
        }
        let none = Traffic::default();
        let traffic = tick.traffic.get(service).unwrap_or(&none);
        let may_balance = tick.now.since(self.balanced_at) >= BALANCE_INTERVAL;
        if may_balance {
            self.balanced_at = tick.now;
        }
        self.durable.raise_epochs(tick.min_epoch);
        let input = plan::Input {
            owners: &owners,
            traffic,
            work_time: &|target| work_time(target, tick),
            must_leave: &|range| {
                self.must_leave(range, tick.fleet) && !self.unconfirmed.contains(&range.epoch)
            },
            is_idle: &|range| !self.in_flight.contains(&range.epoch),
            is_granted: &|range| self.is_granted(range),
            previous_owners: &|range| self.previous_owners(range),
            may_fill: self.unconfirmed.is_empty(),
            may_balance: may_balance && self.unconfirmed.is_empty(),
        };
        plan::next(&self.durable, &input)
    }

    /// Tells whether the first assignment waits for more targets to register.
    fn awaits_targets(&mut self, now: Instant, count: usize) -> bool {
        let first = Discovery {
            since: now,
            grown_at: now,
            count,
        };
        let discovery = self.discovery.get_or_insert(first);
        if count > discovery.count {
            discovery.count = count;
            discovery.grown_at = now;
        }
        now.since(discovery.grown_at) < DISCOVERY_IDLE && now.since(discovery.since) < MAX_DISCOVERY
    }

    /// Tells whether a previous owner of a range can't hold its keys any more.
    fn is_cleared(&self, range: &Range, owner: &PreviousOwner) -> bool {
        let progress = self.moves.get(&range.epoch);
        progress.is_some_and(|progress| progress.cleared.contains(&owner.fence))
    }

    /// Tells whether a grant may have been sent to the owner of a range.
    fn is_granted(&self, range: &Range) -> bool {
        let progress = self.moves.get(&range.epoch);
        range.is_held() || progress.is_some_and(|progress| progress.is_granted)
    }

    /// Returns the previous owners of a range that may still hold its keys.
    fn previous_owners(&self, range: &Range) -> Vec<PreviousOwner> {
        let State::Moving(previous) = &range.state else {
            return Vec::new();
        };
        let may_hold = |owner: &&PreviousOwner| !self.is_cleared(range, owner);
        previous.iter().filter(may_hold).cloned().collect()
    }

    /// Returns the assignment with the confirmed moves completed, if there are any.
    fn confirmed(&self) -> Option<Assignment> {
        let is_new = |range: &Range| {
            let progress = self.moves.get(&range.epoch);
            !range.is_held() && progress.is_some_and(|progress| progress.is_confirmed)
        };
        if !self.durable.ranges.iter().any(is_new) {
            return None;
        }
        let mut held = self.durable.clone();
        for range in held.ranges.iter_mut().filter(|range| is_new(range)) {
            range.state = State::Held;
        }
        Some(held)
    }

    fn is_contested(&self, range: &Range) -> bool {
        let mut contested = self.contested.iter();
        contested.any(|(first, last)| range.first <= *last && *first <= range.last)
    }

    fn must_leave(&self, range: &Range, fleet: &Fleet) -> bool {
        let owner = &range.owner;
        let known = fleet
            .get(&owner.id)
            .filter(|target| &target.registration.incarnation == owner);
        let serves = known.is_some_and(|target| fleet.is_serving(target));
        !serves || !self.may_own(owner) || self.refused.contains(&range.epoch)
    }

    /// Tells whether a target may get keys: it has neither ended nor stopped responding. If no target
    /// responds, the others get orders too, since only an answer shows that they respond again.
    fn may_own(&self, target: &Incarnation) -> bool {
        let may_respond = self.retries_unresponsive || !self.is_unresponsive(target);
        may_respond && !self.ended.contains(target)
    }

    fn is_unresponsive(&self, target: &Incarnation) -> bool {
        self.unanswered
            .get(target)
            .is_some_and(|count| *count >= MAX_UNANSWERED)
    }

    pub(super) fn confirm_write(&mut self) {
        if let Some(written) = self.draft.take() {
            self.replace(written);
        }
    }

    /// Replaces the assignment by the contents of the log. The epochs of a change that was not
    /// written are not allocated again.
    pub(super) fn reload(&mut self, mut assignment: Assignment) {
        let draft = self.draft.take();
        let allocated = draft.map_or(0, |draft| draft.next_epoch);
        assignment.raise_epochs(allocated.max(self.durable.next_epoch));
        self.replace(assignment);
    }

    fn replace(&mut self, written: Assignment) {
        self.durable = written;
        let epochs: BTreeSet<u64> = self.durable.ranges.iter().map(|r| r.epoch).collect();
        self.moves.retain(|epoch, _| epochs.contains(epoch));
        self.refused.retain(|epoch| epochs.contains(epoch));
        self.due.retain(|epoch, _| epochs.contains(epoch));
    }

    pub(super) fn record_response(&mut self, now: Instant, order: &Order, response: Response) {
        self.in_flight.remove(&order.range_epoch);
        match &response {
            Response::Unreached => _ = self.unreached.insert(order.target.clone()),
            Response::Unsent => {}
            _ => _ = self.unreached.remove(&order.target),
        }
        match &response {
            Response::Silent => *self.unanswered.entry(order.target.clone()).or_default() += 1,
            Response::Unattributed | Response::Unreached | Response::Unsent => {}
            _ => {
                self.unanswered.remove(&order.target);
            }
        }
        let delay = match &response {
            Response::Done(_) if order.operation != Operation::Release => {
                RENEWAL_INTERVAL + jitter(order.range_epoch)
            }
            Response::Done(_) => Span::ZERO,
            _ => RETRY_BACKOFF,
        };
        self.due.insert(order.range_epoch, now + delay);
        match (response, &order.operation) {
            (Response::Misdirected, _) => {
                self.ended.insert(order.target.clone());
            }
            (Response::Done(_), Operation::Grant { .. }) => {
                self.unconfirmed.remove(&order.range_epoch);
                if let Some(progress) = self.moves.get_mut(&order.range_epoch) {
                    progress.is_confirmed = true;
                }
            }
            (Response::Done(handover), Operation::Release) => {
                if let Some((range, previous)) = self.released_owner(order) {
                    self.clear(&order.service, &range, &previous, Evidence::Released);
                    let progress = self.moves.entry(order.range_epoch).or_default();
                    progress.handover = handover.or(progress.handover.take());
                }
            }
            (Response::Refused, Operation::Grant { .. }) if self.is_current(order) => {
                self.refused.insert(order.range_epoch);
                self.contested.push((order.first, order.last));
            }
            _ => {}
        }
    }
}

impl Partition {
    /// Returns the range and the previous owner that a release concerns, which its successor may have
    /// answered.
    fn released_owner(&self, order: &Order) -> Option<(Range, PreviousOwner)> {
        let mut ranges = self.durable.ranges.iter();
        let range = ranges.find(|range| range.epoch == order.range_epoch)?;
        let State::Moving(previous) = &range.state else {
            return None;
        };
        let released = previous.iter().find(|owner| owner.fence == order.fence)?;
        Some((range.clone(), released.clone()))
    }

    /// Tells whether an order matches a range of the written assignment.
    fn is_current(&self, order: &Order) -> bool {
        let range = self.durable.range(order.first);
        range.is_some_and(|r| r.epoch == order.fence && r.last == order.last)
    }
}

/// Returns the extra delay of a range's renewal, which differs between ranges.
fn jitter(epoch: u64) -> Span {
    Span(epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15) % RENEWAL_JITTER.0)
}

/// Returns the time that a target takes to process a request, in microseconds. One that limits the
/// rate of its requests counts as so slow that its slots serve no more.
fn work_time(target: &Incarnation, tick: &Tick<'_>) -> f64 {
    let usual = (tick.work_time)(target);
    let Some(rate) = (tick.rate_limit)(target) else {
        return usual;
    };
    let known = tick.fleet.get(&target.id);
    let slots = known.map_or(1, |known| known.registration.slots);
    usual.max(f64::from(slots) * US_PER_SECOND / rate.per_second())
}

fn grant(hold: Span, handover: Option<String>) -> Operation {
    Operation::Grant { hold, handover }
}
