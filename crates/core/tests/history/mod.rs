//! Random records, and a simulated run of four processes with the default time limits.

mod run;

use std::collections::BTreeMap;

use proptest::prelude::*;
use ragwortrill_core::{
    contract::Contract,
    ledger::{Assignment, Ledger},
    name,
    number::{Epoch, Offset, Slice, Version},
    process::Process,
    record::{Record, Share, State},
    request,
};

pub use run::{Run, Step, steps};

use crate::scene::{name as parse, started, table};

/// Returns any record whose repeated copies must have no effect.
///
/// `Quarantine` and `Forget` are left out, since they are not compare-and-set. Outcomes are not
/// either, so [`summary`] does not contain the status of requests.
pub fn record() -> impl Strategy<Value = Record> {
    prop_oneof![
        2 => operator(),
        2 => membership(),
        4 => claim(),
        2 => holder_record(),
        2 => slice_move(),
        2 => request(),
    ]
}

fn small() -> impl Strategy<Value = u64> {
    0..24_u64
}

fn target() -> impl Strategy<Value = name::Target> {
    prop_oneof![Just(parse("t1")), Just(parse("t2"))]
}

fn process() -> impl Strategy<Value = Process> {
    ("[abc]", 1..3_u64).prop_map(|(host, incarnation)| Process {
        host: parse(&host),
        incarnation,
    })
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::In), Just(State::Out)]
}

fn operator() -> impl Strategy<Value = Record> {
    let tables = prop_oneof![Just(table(&["t1", "t2"])), Just(table(&["t1"]))];
    prop_oneof![
        (0..4_u64, tables).prop_map(|(base, table)| Record::Table {
            base: Version(base),
            table
        }),
        (state(), small()).prop_map(|(state, after)| Record::DataCentre {
            name: parse("northam"),
            state,
            after: Offset(after)
        }),
        (target(), state(), small()).prop_map(|(name, state, after)| Record::Target {
            name,
            state,
            after: Offset(after)
        }),
        (state(), small()).prop_map(|(state, after)| Record::Host {
            name: parse("a"),
            state,
            after: Offset(after)
        }),
    ]
}

fn membership() -> impl Strategy<Value = Record> {
    prop_oneof![
        3 => ("[abc]", 1..3_u64, small())
            .prop_map(|(host, incarnation, after)| started(&host, incarnation, Offset(after))),
        1 => process().prop_map(|process| Record::Lost { process }),
    ]
}

fn claim() -> impl Strategy<Value = Record> {
    let previous = prop_oneof![Just(None), small().prop_map(|epoch| Some(Epoch(epoch)))];
    let targets = prop::collection::vec((target(), previous), 1..3);
    let standbys = prop::collection::vec(process(), 0..3);
    (process(), targets, standbys).prop_map(|(holder, targets, standbys)| Record::Claim {
        holder,
        targets,
        standbys,
    })
}

fn holder_record() -> impl Strategy<Value = Record> {
    let standbys = prop::collection::vec(process(), 0..3);
    prop_oneof![
        3 => (target(), small(), standbys, small()).prop_map(|(target, epoch, standbys, after)| {
            Record::Standbys {
                targets: vec![(target, Epoch(epoch))],
                standbys,
                after: Offset(after),
            }
        }),
        1 => (target(), small()).prop_map(|(target, epoch)| Record::Release {
            targets: vec![(target, Epoch(epoch), 0)]
        }),
    ]
}

fn slice_move() -> impl Strategy<Value = Record> {
    (target(), target(), small(), small()).prop_map(|(from, to, epoch, after)| Record::Move {
        service: parse("orders"),
        from,
        epoch: Epoch(epoch),
        shares: vec![(Share::Slice(Slice(0)), to)],
        after: Offset(after),
    })
}

fn request() -> impl Strategy<Value = Record> {
    let id = (0..3_u64).prop_map(|number| request::Id {
        number,
        ..request::Id::default()
    });
    prop_oneof![
        2 => (target(), small(), id.clone()).prop_map(|(target, epoch, id)| Record::Intent {
            target,
            epoch: Epoch(epoch),
            requests: vec![id]
        }),
        1 => (id, 200..203_u16).prop_map(|(id, status)| Record::Outcome {
            requests: vec![(id, status)]
        }),
    ]
}

/// Limits the offsets, epochs and versions that a record names to those that a ledger has.
pub fn limit(mut record: Record, ledger: &Ledger) -> Record {
    let last = ledger.offset().0;
    match &mut record {
        Record::DataCentre { after, .. }
        | Record::Host { after, .. }
        | Record::Target { after, .. }
        | Record::Started { after, .. }
        | Record::Standbys { after, .. }
        | Record::Move { after, .. } => after.0 = after.0.min(last),
        Record::Table { base, .. } => *base = (*base).min(ledger.version()),
        _ => {}
    }
    match &mut record {
        Record::Claim { targets, .. } => {
            let epochs = targets.iter_mut().filter_map(|(_, epoch)| epoch.as_mut());
            epochs.for_each(|epoch| epoch.0 = epoch.0.min(last));
        }
        Record::Standbys { targets, .. } => {
            targets
                .iter_mut()
                .for_each(|(_, epoch)| epoch.0 = epoch.0.min(last));
        }
        Record::Release { targets } => {
            targets
                .iter_mut()
                .for_each(|(_, epoch, _)| epoch.0 = epoch.0.min(last));
        }
        Record::Move { epoch, .. } | Record::Intent { epoch, .. } => epoch.0 = epoch.0.min(last),
        _ => {}
    }
    record
}

/// State of a ledger without the offsets and hashes that every record changes.
#[derive(Debug, PartialEq)]
pub struct Summary {
    version: Version,
    contracts: BTreeMap<name::Target, Contract>,
    assignments: BTreeMap<name::Service, Assignment>,
    lost: Vec<Process>,
    processes: Vec<Process>,
    states: [State; 2],
    work: [bool; 2],
    intents: Vec<Option<Epoch>>,
}

/// Returns the summary of a ledger.
pub fn summary(ledger: &Ledger) -> Summary {
    let mut contracts = ledger.contracts().clone();
    // Refused records change `changed` as well.
    contracts.values_mut().for_each(|c| c.changed = Offset(0));
    let ids = (0..3).map(|number| request::Id {
        number,
        ..request::Id::default()
    });
    Summary {
        version: ledger.version(),
        contracts,
        assignments: ledger.assignments().clone(),
        lost: ledger.lost().iter().cloned().collect(),
        processes: ledger
            .processes()
            .values()
            .map(|p| p.process.clone())
            .collect(),
        states: [
            ledger.data_centre(&parse("northam")),
            ledger.host(&parse("a")),
        ],
        work: [
            ledger.is_in_service(&parse("t1")),
            ledger.is_in_service(&parse("t2")),
        ],
        intents: ids.map(|id| ledger.intent(&id).map(|i| i.epoch)).collect(),
    }
}
