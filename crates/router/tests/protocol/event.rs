//! Events that the model draws.

use proptest::{collection::vec, prelude::*};
use ragwortrill_router::leader::Operation;

/// Longest schedule.
const MAX_EVENTS: usize = 60;
/// Number of targets of the first service.
const FIRST_TARGETS: usize = 3;
/// Number of targets of both services.
pub const TARGETS: usize = 5;

/// What becomes of the orders that are sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// They are carried out and answered at once.
    Answered,
    /// They are carried out at once, and the answers arrive shortly before the timeout.
    AnsweredLate,
    /// They are carried out, and the answers are lost.
    AnswerLost,
    /// They do not arrive.
    Lost,
    /// They do not arrive, and the host knows that its own link is lost.
    Unreached,
    /// They arrive as late as a connection allows, are carried out then, and the answers are lost.
    Slow,
    /// They arrive as above, get no answers, and are carried out at any later time.
    Pending,
    /// As above, but a copy of an earlier answer arrives.
    Unattributed,
    /// Releases are answered at once, and grants are pending.
    PendingGrants,
    /// Grants are answered at once, and releases do not arrive.
    LostReleases,
    /// Grants arrive at the end of their timeout, at the process that uses the address then, and are
    /// answered then. Releases are answered at once.
    DelayedGrants,
}

impl Fate {
    /// Returns the fate of one kind of orders.
    pub fn of(self, operation: &Operation) -> Self {
        match (self, operation) {
            (Self::PendingGrants, Operation::Grant { .. }) => Self::Pending,
            (Self::LostReleases, Operation::Release) => Self::Lost,
            (Self::DelayedGrants, Operation::Grant { .. }) => Self::DelayedGrants,
            (Self::PendingGrants | Self::LostReleases | Self::DelayedGrants, _) => Self::Answered,
            (fate, _) => fate,
        }
    }
}

/// What becomes of the writes to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Write {
    /// They are executed and answered at once.
    Answered,
    /// They are executed and answered after some time.
    Slow,
    /// They are executed, and the answers are lost.
    AnswerLost,
    /// They get no answers and are executed at any later time, if their condition still holds.
    Late,
}

/// What another writer leaves for a target that goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OddEntry {
    /// An entry with the target's id, another address and a later start.
    OtherAddress,
    /// An entry with another id, the target's address and a later start.
    OtherId,
}

/// One event of a schedule.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A target drains.
    Drain(usize),
    /// A target takes its draining back.
    Serve(usize),
    /// The entry of a target is removed, while it goes on.
    Leave(usize),
    /// A target ends; its entry stays for a time.
    End(usize),
    /// A target restarts under its id and at its address.
    Restart(usize),
    /// As above, and its entry follows with its next change.
    RestartUnlisted(usize),
    /// A target restarts under its id at another address.
    Move(usize),
    /// A process with another id starts at the address of a target, whose entry is left.
    Replace(usize),
    /// The fate of the orders to a target from now on.
    Orders(usize, Fate),
    /// A target carries out its newest pending order, or its oldest one.
    CarryOut(usize, bool),
    /// Another writer leaves an entry for a target.
    Overwrite(usize, OddEntry),
    /// A data centre is evacuated.
    Evacuate(usize),
    /// The evacuation is taken back.
    TakeBack(usize),
    /// The fate of the writes from now on.
    Writes(Write),
    /// A late write is executed if its condition still holds.
    Execute,
    /// As an earlier release allowed, a late write is executed though its condition does not hold, and
    /// leaves ranges that overlap. Another host leads, which knows only the log.
    Overlap,
    /// Whether moves that are written list a target again for each of its grants, as an earlier release
    /// wrote them.
    RepeatsOwners(bool),
    /// Another host leads, which knows only the log.
    NewLeader,
    /// Whether the leader's list of targets is up to date.
    IsCurrent(bool),
    /// Whether some keys are busy.
    IsBusy(bool),
}

/// An event and the time until the next one.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub event: Event,
    pub pause_ms: u64,
}

/// Whether grants may arrive as late as at the end of their timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connections {
    Fast,
    Slow,
}

fn fate(connections: Connections) -> impl Strategy<Value = Fate> {
    let delayed = match connections {
        Connections::Fast => 1,
        Connections::Slow => 12,
    };
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnsweredLate),
        1 => Just(Fate::AnswerLost),
        2 => Just(Fate::Lost),
        1 => Just(Fate::Unreached),
        1 => Just(Fate::Slow),
        4 => Just(Fate::Pending),
        1 => Just(Fate::Unattributed),
        3 => Just(Fate::PendingGrants),
        2 => Just(Fate::LostReleases),
        delayed => Just(Fate::DelayedGrants),
    ]
}

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        3 => Just(Write::Answered),
        1 => Just(Write::Slow),
        1 => Just(Write::AnswerLost),
        2 => Just(Write::Late),
    ]
}

fn event(connections: Connections) -> impl Strategy<Value = Event> {
    let target = || prop_oneof![3 => 0..FIRST_TARGETS, 1 => FIRST_TARGETS..TARGETS];
    let odd_entry = || prop_oneof![Just(OddEntry::OtherAddress), Just(OddEntry::OtherId)];
    prop_oneof![
        6 => target().prop_map(Event::Drain),
        6 => target().prop_map(Event::Serve),
        1 => target().prop_map(Event::Leave),
        1 => target().prop_map(Event::End),
        1 => target().prop_map(Event::Restart),
        1 => target().prop_map(Event::RestartUnlisted),
        1 => target().prop_map(Event::Move),
        1 => target().prop_map(Event::Replace),
        9 => (target(), fate(connections)).prop_map(|(target, fate)| Event::Orders(target, fate)),
        5 => (target(), any::<bool>()).prop_map(|(target, newest)| Event::CarryOut(target, newest)),
        2 => (target(), odd_entry()).prop_map(|(target, entry)| Event::Overwrite(target, entry)),
        1 => (0..2_usize).prop_map(Event::Evacuate),
        1 => (0..2_usize).prop_map(Event::TakeBack),
        3 => write().prop_map(Event::Writes),
        2 => Just(Event::Execute),
        1 => Just(Event::Overlap),
        1 => any::<bool>().prop_map(Event::RepeatsOwners),
        2 => Just(Event::NewLeader),
        1 => any::<bool>().prop_map(Event::IsCurrent),
        1 => any::<bool>().prop_map(Event::IsBusy),
    ]
}

fn pause_ms() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => Just(0),
        4 => Just(100),
        3 => Just(400),
        2 => Just(1_000),
        2 => Just(3_000),
        1 => Just(6_000),
    ]
}

impl Event {
    /// Returns the number of the event's kind.
    fn kind(self) -> u32 {
        match self {
            Self::Drain(_) | Self::Serve(_) => 0,
            Self::Leave(_) => 1,
            Self::End(_) => 2,
            Self::Restart(_) => 3,
            Self::RestartUnlisted(_) => 4,
            Self::Move(_) => 5,
            Self::Replace(_) => 6,
            Self::Orders(..) => 7,
            Self::CarryOut(..) => 8,
            Self::Evacuate(_) | Self::TakeBack(_) => 9,
            Self::Writes(_) | Self::Execute => 10,
            Self::NewLeader => 11,
            Self::IsCurrent(_) => 12,
            Self::IsBusy(_) => 13,
            Self::Overwrite(..) => 14,
            Self::Overlap => 15,
            Self::RepeatsOwners(_) => 16,
        }
    }

    /// Tells whether schedules with slow connections have such events: keys move, targets restart, and
    /// writes take time.
    fn is_drawn_with_slow_connections(self) -> bool {
        matches!(
            self,
            Self::Drain(_)
                | Self::Serve(_)
                | Self::Restart(_)
                | Self::Orders(..)
                | Self::Writes(_)
                | Self::Execute
                | Self::IsBusy(_)
        )
    }

    /// Returns the target that the event concerns.
    fn target(self) -> Option<usize> {
        match self {
            Self::Drain(target)
            | Self::Serve(target)
            | Self::Leave(target)
            | Self::End(target)
            | Self::Restart(target)
            | Self::RestartUnlisted(target)
            | Self::Move(target)
            | Self::Replace(target)
            | Self::Orders(target, _)
            | Self::CarryOut(target, _)
            | Self::Overwrite(target, _) => Some(target),
            _ => None,
        }
    }
}

/// Services of a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Services {
    One,
    Two,
}

impl Services {
    /// Returns the number of targets.
    pub fn targets(self) -> usize {
        match self {
            Self::One => FIRST_TARGETS,
            Self::Two => TARGETS,
        }
    }
}

/// Returns the schedules that are drawn. Each has some kinds of events only, since a rare sequence of a
/// few kinds is hardly ever drawn among all of them.
pub fn schedules(connections: Connections) -> impl Strategy<Value = (Services, Vec<Step>)> {
    let step =
        (event(connections), pause_ms()).prop_map(|(event, pause_ms)| Step { event, pause_ms });
    let services = prop_oneof![2 => Just(Services::One), 1 => Just(Services::Two)];
    let schedule = (services, any::<u32>(), vec(step, 1..=MAX_EVENTS));
    schedule.prop_map(move |(services, kinds, mut steps)| {
        steps.retain(|Step { event, .. }| {
            let is_delay = matches!(event, Event::Orders(_, Fate::DelayedGrants));
            let is_drawn = match connections {
                Connections::Fast => kinds >> event.kind() & 1 == 1 && !is_delay,
                Connections::Slow => event.is_drawn_with_slow_connections(),
            };
            is_drawn && event.target().unwrap_or_default() < services.targets()
        });
        (services, steps)
    })
}
