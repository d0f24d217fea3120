//! Grants and moves of keys, as the host that leads orders them.
//!
//! Every change is written to the log before its first order. A range moves in four steps: the
//! change is written; the previous owner gets a grant with a higher epoch, after which it refuses
//! every earlier grant that may still be on its way; the previous owner releases the keys, or its
//! last possible grant runs out; the new owner gets its grant.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use ragwortrill_core::{
    name,
    time::{Instant, Span},
};

use crate::{
    assignment::{Assignment, Key, Previous, Range, State},
    fleet::Fleet,
    heat::Heat,
    plan,
    registration::Life,
};

/// Time after an answered grant at which it is renewed.
const RENEWAL: Span = Span::from_millis(1_000);
/// Time after an unanswered order at which it is repeated.
const REPETITION: Span = Span::from_millis(300);
/// Lifetime of the grant that only raises a target's epoch before a release.
const FENCE_HOLD: Span = Span::from_millis(1_000);
/// Orders in a row without an answer after which a target loses its keys.
const MOST_SILENT: u32 = 3;
/// Time from the first registration to the first assignment, in which the others register.
const GATHERING: Span = Span::from_millis(1_000);
/// Least time between moves for the sake of balance.
const BALANCE_PAUSE: Span = Span::from_millis(700);
/// Drift of a target's clock in percent, and a margin for a grant on its way.
const DRIFT_PERCENT: u64 = 2;
const GRANT_MARGIN: Span = Span::from_millis(250);

/// What a target is ordered to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Own the keys for a time.
    Grant {
        /// Time from the arrival at the target.
        hold: Span,
        /// Token of the previous owner, with which the keys are not cold.
        handover: Option<String>,
    },
    /// Give the keys up.
    Release,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Service of the keys.
    pub service: name::Service,
    /// Epoch of the range that the order serves.
    pub range: u64,
    /// Target that gets the order.
    pub life: Life,
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
    /// Fencing token of the order.
    pub fence: u64,
    /// What is ordered.
    pub verb: Verb,
}

/// A target's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It obeyed. A release may return a token for the next owner.
    Done(Option<String>),
    /// It knows a higher epoch.
    Refused,
    /// Another target has the address.
    Misdirected,
    /// No answer came. The order may be carried out later.
    Silent,
}

/// What the leader wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write the assignment of a service to the log.
    Write(name::Service, Assignment),
    /// Send an order.
    Send(Order),
    /// Give up leadership: this host reaches hardly any target.
    Resign,
}

/// State of one tick.
pub struct Tick<'a> {
    /// The current moment.
    pub now: Instant,
    /// Known targets.
    pub fleet: &'a Fleet,
    /// How busy the keys are, by service.
    pub heat: &'a BTreeMap<name::Service, Heat>,
    /// Partitioned services.
    pub services: &'a [name::Service],
    /// Lifetime of grants.
    pub hold: Span,
}

/// The leader of all partitioned services.
#[derive(Clone, Debug)]
pub struct Leader {
    desks: BTreeMap<name::Service, Desk>,
    /// When the last grant of an earlier leader has run out.
    earlier_until: Instant,
}

/// Returns when a grant that is sent now has run out at its target.
pub fn expiry(now: Instant, hold: Span) -> Instant {
    now + hold.scale(100 + DRIFT_PERCENT, 100) + GRANT_MARGIN
}

impl Leader {
    /// Creates the leader from the assignments in the log. Grants of an earlier leader may be in
    /// force until `earlier_until`.
    pub fn new(assignments: &BTreeMap<name::Service, Assignment>, earlier_until: Instant) -> Self {
        let desk = |(service, assignment): (&name::Service, &Assignment)| {
            (service.clone(), Desk::new(assignment.clone()))
        };
        Self {
            desks: assignments.iter().map(desk).collect(),
            earlier_until,
        }
    }

    /// Returns what is due.
    pub fn tick(&mut self, tick: &Tick<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for service in tick.services {
            let desk = self.desks.entry(service.clone()).or_default();
            if desk.is_isolated() {
                return vec![Action::Resign];
            }
            desk.tick(service, tick, self.earlier_until, &mut actions);
        }
        actions
    }

    /// Notes that an assignment is in the log.
    pub fn written(&mut self, service: &name::Service) {
        if let Some(desk) = self.desks.get_mut(service) {
            desk.written();
        }
    }

    /// Replaces an assignment by what the log holds after a write without an answer.
    pub fn reload(&mut self, service: &name::Service, assignment: Assignment) {
        let desk = self.desks.entry(service.clone()).or_default();
        desk.durable = assignment;
        desk.draft = None;
    }

    /// Notes the answer to an order.
    pub fn answer(&mut self, now: Instant, order: &Order, answer: Answer) {
        if let Some(desk) = self.desks.get_mut(&order.service) {
            desk.answer(now, order, answer);
        }
    }
}

/// How far the move of one range is.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Stage {
    /// The previous owner's epoch is raised.
    Fence,
    /// The previous owner gives the keys up.
    Release,
    /// No other target can hold the keys.
    Clear(Option<String>),
}

#[derive(Clone, Debug, Default)]
struct Desk {
    durable: Assignment,
    draft: Option<Assignment>,
    stages: BTreeMap<u64, Stage>,
    /// Ranges whose new owner may have got its grant.
    granted: BTreeSet<u64>,
    /// Ranges whose new owner has answered its grant.
    confirmed: BTreeSet<u64>,
    /// Ranges whose owner knows a higher epoch.
    refused: BTreeSet<u64>,
    due: BTreeMap<u64, Instant>,
    busy: BTreeSet<u64>,
    until: BTreeMap<Life, Instant>,
    silent: BTreeMap<Life, u32>,
    ended: BTreeSet<Life>,
    gathering: Option<Instant>,
    balanced: Instant,
}

impl Desk {
    fn new(durable: Assignment) -> Self {
        Self {
            durable,
            ..Self::default()
        }
    }

    /// Tells whether more than half of the owners answer nothing.
    fn is_isolated(&self) -> bool {
        let owners: BTreeSet<&Life> = self.durable.ranges.iter().map(|r| &r.owner).collect();
        let silent = |life: &&&Life| self.silent.get(**life).is_some_and(|n| *n >= MOST_SILENT);
        owners.len() >= 3 && owners.iter().filter(silent).count() * 2 > owners.len()
    }

    fn tick(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_until: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.order(service, tick, earlier_until, actions);
        if self.draft.is_none()
            && let Some(draft) = self.plan(service, tick)
        {
            actions.push(Action::Write(service.clone(), draft.clone()));
            self.draft = Some(draft);
        }
    }

    /// Orders what the written assignment needs.
    fn order(
        &mut self,
        service: &name::Service,
        tick: &Tick<'_>,
        earlier_until: Instant,
        actions: &mut Vec<Action>,
    ) {
        for range in self.durable.ranges.clone() {
            if self.busy.contains(&range.epoch) {
                continue;
            }
            let is_due = self
                .due
                .get(&range.epoch)
                .is_none_or(|due| *due <= tick.now);
            let step = match &range.state {
                State::Held => self.renewal(&range, tick),
                State::Moving(previous) => {
                    let previous = previous.as_ref();
                    self.advance(&range, previous, tick, earlier_until)
                }
            };
            let Some((life, fence, verb)) = step.filter(|_| is_due) else {
                continue;
            };
            if let Verb::Grant { hold, .. } = &verb {
                let until = self.until.entry(life.clone()).or_default();
                *until = (*until).max(expiry(tick.now, *hold));
            }
            self.busy.insert(range.epoch);
            actions.push(Action::Send(Order {
                service: service.clone(),
                range: range.epoch,
                life,
                first: range.first,
                last: range.last,
                fence,
                verb,
            }));
        }
    }

    fn renewal(&self, range: &Range, tick: &Tick<'_>) -> Option<(Life, u64, Verb)> {
        if self.must_leave(range, tick.fleet) {
            return None;
        }
        Some((range.owner.clone(), range.epoch, grant(tick.hold, None)))
    }

    fn advance(
        &mut self,
        range: &Range,
        previous: Option<&Previous>,
        tick: &Tick<'_>,
        earlier_until: Instant,
    ) -> Option<(Life, u64, Verb)> {
        let stage = self
            .stages
            .get(&range.epoch)
            .cloned()
            .unwrap_or(Stage::Fence);
        let Some(previous) = previous else {
            return self.first_grant(range, None, tick);
        };
        let until = self.until.get(&previous.life).copied();
        let has_expired = tick.now >= until.unwrap_or_default().max(earlier_until);
        let has_ended =
            self.ended.contains(&previous.life) || is_replaced(&previous.life, tick.fleet);
        match stage {
            Stage::Clear(handover) => self.first_grant(range, handover, tick),
            _ if has_ended || has_expired && self.is_silent(&previous.life) => {
                self.stages.insert(range.epoch, Stage::Clear(None));
                self.first_grant(range, None, tick)
            }
            Stage::Fence if self.is_silent(&previous.life) => {
                // Another grant would only delay the moment at which the last one has run out.
                Some((previous.life.clone(), previous.fence, Verb::Release))
            }
            Stage::Fence => Some((
                previous.life.clone(),
                previous.fence,
                grant(FENCE_HOLD, None),
            )),
            Stage::Release => Some((previous.life.clone(), previous.fence, Verb::Release)),
        }
    }

    fn first_grant(
        &self,
        range: &Range,
        handover: Option<String>,
        tick: &Tick<'_>,
    ) -> Option<(Life, u64, Verb)> {
        if self.must_leave(range, tick.fleet) {
            return None;
        }
        Some((range.owner.clone(), range.epoch, grant(tick.hold, handover)))
    }

    fn plan(&mut self, service: &name::Service, tick: &Tick<'_>) -> Option<Assignment> {
        if let Some(held) = self.held() {
            return Some(held);
        }
        let owners: Vec<plan::Owner> = tick
            .fleet
            .serving(service)
            .filter(|target| !self.is_silent(&target.registration.life))
            .map(|target| plan::Owner {
                life: target.registration.life.clone(),
                is_cold: target.cold_until > tick.now,
            })
            .collect();
        if owners.is_empty() {
            return None;
        }
        if self.durable.ranges.is_empty() {
            let since = *self.gathering.get_or_insert(tick.now);
            if tick.now.since(since) < GATHERING {
                return None;
            }
        }
        let unknown = Heat::default();
        let heat = tick.heat.get(service).unwrap_or(&unknown);
        let input = plan::Input {
            owners: &owners,
            heat,
            must_leave: &|range| {
                self.must_leave(range, tick.fleet) && !self.busy.contains(&range.epoch)
            },
            may_balance: tick.now.since(self.balanced) >= BALANCE_PAUSE,
        };
        let mut planned = plan::next(&self.durable, &input)?;
        self.keep_previous(&mut planned);
        self.balanced = tick.now;
        Some(planned)
    }

    /// A range whose new owner never got a grant still belongs to the owner before that.
    fn keep_previous(&self, planned: &mut Assignment) {
        for range in &mut planned.ranges {
            let old = self.durable.range(range.first);
            let Some(old) = old.filter(|old| old.epoch != range.epoch) else {
                continue;
            };
            if let State::Moving(previous) = &old.state
                && !self.granted.contains(&old.epoch)
            {
                range.state = State::Moving(previous.clone());
            }
        }
    }

    /// Returns the assignment with the granted moves completed.
    fn held(&self) -> Option<Assignment> {
        let is_new = |range: &Range| !range.is_held() && self.confirmed.contains(&range.epoch);
        if !self.durable.ranges.iter().any(is_new) {
            return None;
        }
        let mut held = self.durable.clone();
        for range in held.ranges.iter_mut().filter(|range| is_new(range)) {
            range.state = State::Held;
        }
        Some(held)
    }

    fn must_leave(&self, range: &Range, fleet: &Fleet) -> bool {
        let life = &range.owner;
        let known = fleet
            .get(&life.id)
            .filter(|target| &target.registration.life == life);
        let serves = known.is_some_and(|target| fleet.is_serving(target));
        !serves
            || self.is_silent(life)
            || self.ended.contains(life)
            || self.refused.contains(&range.epoch)
    }

    fn is_silent(&self, life: &Life) -> bool {
        self.silent
            .get(life)
            .is_some_and(|count| *count >= MOST_SILENT)
    }

    fn written(&mut self) {
        let Some(written) = self.draft.take() else {
            return;
        };
        self.durable = written;
        let epochs: BTreeSet<u64> = self.durable.ranges.iter().map(|r| r.epoch).collect();
        self.stages.retain(|epoch, _| epochs.contains(epoch));
        self.granted.retain(|epoch| epochs.contains(epoch));
        self.confirmed.retain(|epoch| epochs.contains(epoch));
        self.refused.retain(|epoch| epochs.contains(epoch));
        self.due.retain(|epoch, _| epochs.contains(epoch));
    }

    fn answer(&mut self, now: Instant, order: &Order, answer: Answer) {
        self.busy.remove(&order.range);
        match &answer {
            Answer::Silent => *self.silent.entry(order.life.clone()).or_default() += 1,
            _ => {
                self.silent.remove(&order.life);
            }
        }
        let pause = match &answer {
            Answer::Done(_) if order.fence == order.range => RENEWAL,
            Answer::Done(_) => Span::ZERO,
            _ => REPETITION,
        };
        self.due.insert(order.range, now + pause);
        let is_first = order.fence == order.range;
        match (answer, &order.verb) {
            (Answer::Misdirected, _) => {
                self.ended.insert(order.life.clone());
            }
            (Answer::Done(_), Verb::Grant { handover, .. }) if is_first => {
                self.granted.insert(order.range);
                self.confirmed.insert(order.range);
                let clear = Stage::Clear(handover.clone());
                self.stages.entry(order.range).or_insert(clear);
            }
            (Answer::Done(_), Verb::Grant { .. }) => {
                self.stages.insert(order.range, Stage::Release);
            }
            (Answer::Done(handover), Verb::Release) => {
                if matches!(self.stages.get(&order.range), Some(Stage::Release)) {
                    self.stages.insert(order.range, Stage::Clear(handover));
                }
            }
            (Answer::Refused, Verb::Grant { .. }) if !is_first => {
                // The target has seen the fence or a higher epoch already.
                self.stages.insert(order.range, Stage::Release);
            }
            (Answer::Refused, _) if self.is_current(order) => {
                self.refused.insert(order.range);
            }
            (Answer::Silent, Verb::Grant { .. }) if is_first => {
                self.granted.insert(order.range);
            }
            _ => {}
        }
    }
}

impl Desk {
    /// Tells whether an order is about a range as it is written now.
    fn is_current(&self, order: &Order) -> bool {
        let range = self.durable.range(order.first);
        range.is_some_and(|r| r.epoch == order.fence && r.last == order.last)
    }
}

fn grant(hold: Span, handover: Option<String>) -> Verb {
    Verb::Grant { hold, handover }
}

/// Tells whether a target's address or id belongs to another life now, so that it has ended.
fn is_replaced(life: &Life, fleet: &Fleet) -> bool {
    let same_id = fleet.get(&life.id);
    let replaced = |other: &Life| other != life && other.address == life.address;
    same_id.is_some_and(|target| target.registration.life.born > life.born)
        || fleet
            .targets()
            .values()
            .any(|target| replaced(&target.registration.life))
}

impl Order {
    /// Returns the address that the order goes to.
    pub fn address(&self) -> SocketAddr {
        self.life.address
    }
}
