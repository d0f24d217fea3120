//! The log service and the invariants of each append.

use std::rc::Rc;

use ragwortrill_core::{
    ledger::{Effect, Ledger},
    number::Offset,
    record::{Entry, Id, Record, State},
};

use super::{
    rule::Rule,
    world::{World, data_centre},
};

/// The log up to a record, with the ledger after it.
pub(crate) struct Node {
    pub(crate) offset: Offset,
    pub(crate) entry: Rc<Entry>,
    pub(crate) ledger: Ledger,
    pub(crate) previous: Option<Rc<Node>>,
    pub(crate) fault: Option<&'static str>,
}

impl Node {
    /// Appends an entry, applies it by `Ledger::apply` and checks what it changed.
    pub(crate) fn append(
        world: &World,
        previous: Option<&Rc<Self>>,
        ledger: &Ledger,
        entry: &Rc<Entry>,
    ) -> Rc<Self> {
        let offset = ledger.offset().next();
        let mut after = ledger.clone();
        let changed = relax(world, ledger, entry);
        let entry = changed.map_or_else(|| Rc::clone(entry), Rc::new);
        let effect = match with_new_id(world, offset, &entry) {
            Some(entry) => after.apply(offset, &entry),
            None => after.apply(offset, &entry),
        };
        let repeated = previous.is_some_and(|node| node.has(&entry));
        Rc::new(Self {
            offset,
            fault: check(ledger, &after, &entry, effect, repeated),
            entry,
            ledger: after,
            previous: previous.cloned(),
        })
    }

    fn has(&self, entry: &Entry) -> bool {
        self.entry.id == entry.id || self.previous.as_ref().is_some_and(|node| node.has(entry))
    }

    /// Returns the nodes after an offset, oldest first.
    pub(crate) fn since(self: &Rc<Self>, offset: Offset) -> Vec<Rc<Self>> {
        let mut nodes = Vec::new();
        let mut next = Some(self);
        while let Some(node) = next.filter(|node| node.offset > offset) {
            nodes.push(Rc::clone(node));
            next = node.previous.as_ref();
        }
        nodes.reverse();
        nodes
    }
}

/// Returns the entry with its compare-and-set made ineffective, if a rule about it is left out.
fn relax(world: &World, ledger: &Ledger, entry: &Entry) -> Option<Entry> {
    let mut changed = entry.clone();
    let current = |target| ledger.contracts().get(target).map(|c| c.epoch);
    match &mut changed.record {
        Record::Claim { targets, .. } if world.omits(Rule::COMPARE_AND_SET) => {
            for (target, previous) in targets {
                *previous = current(target);
            }
        }
        Record::Intent { target, epoch, .. } if world.omits(Rule::INTENT_EPOCH) => {
            *epoch = current(target)?;
        }
        Record::Table { base, .. } if world.omits(Rule::TABLE_VERSION) => *base = ledger.version(),
        Record::Standbys { after, .. } if world.omits(Rule::STANDBYS_ONCE) => *after = UNLIMITED,
        Record::Move { after, .. } if world.omits(Rule::MOVE_ONCE) => *after = UNLIMITED,
        Record::Started { after, .. } if world.omits(Rule::STARTED_ONCE) => *after = UNLIMITED,
        Record::DataCentre { after, .. } if world.omits(Rule::STATE_ONCE) => *after = UNLIMITED,
        _ => return None,
    }
    Some(changed)
}

/// Returns an operator's entry under a new id if the rule that late copies have no effect is left
/// out: the ledger's archive would otherwise recognise the copy by its id.
fn with_new_id(world: &World, offset: Offset, entry: &Entry) -> Option<Entry> {
    let left_out = world.omits(Rule::STATE_ONCE);
    matches!(entry.record, Record::DataCentre { .. } if left_out).then(|| Entry {
        id: Id(u128::MAX - u128::from(offset.0)),
        ..entry.clone()
    })
}

const UNLIMITED: Offset = Offset(u64::MAX);

fn check(
    before: &Ledger,
    after: &Ledger,
    entry: &Entry,
    effect: Effect,
    repeated: bool,
) -> Option<&'static str> {
    if after.version() < before.version() {
        return Some("a table version decreased");
    }
    for (target, contract) in before.contracts() {
        let next = after.contracts().get(target);
        if next.is_none_or(|next| next.epoch < contract.epoch) {
            return Some("an epoch decreased or a contract was lost");
        }
    }
    let writer = |target| {
        let contract = before.contracts().get(target);
        contract.is_some_and(|c| c.holder.to_string() == entry.actor)
    };
    let moved = before.assignments() != after.assignments() && before.version().0 > 0;
    match &entry.record {
        Record::Move { from, .. } if !moved || writer(from) => {}
        _ if moved => return Some("an assignment changed without its holder's move"),
        _ => {}
    }
    match &entry.record {
        Record::Intent { target, .. } if effect == Effect::Applied && !writer(target) => {
            Some("an intent counts that the current holder did not write")
        }
        Record::Table { base, .. }
            if effect == Effect::Applied && is_stale(before, *base, entry) =>
        {
            Some("an accepted table change was overwritten by one that had not seen it")
        }
        Record::DataCentre { .. } if repeated && state(before) != state(after) => {
            Some("a repeated copy undid an operator's later change")
        }
        _ => None,
    }
}

/// Returns whether a table was edited from an older version. The entry's reason names that version.
fn is_stale(before: &Ledger, base: ragwortrill_core::number::Version, entry: &Entry) -> bool {
    base != before.version() || entry.reason != before.version().to_string()
}

fn state(ledger: &Ledger) -> State {
    ledger.data_centre(&data_centre())
}
