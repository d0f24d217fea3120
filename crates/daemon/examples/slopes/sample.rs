//! Creation of states and records of given sizes.

use ragwortrill_core::{
    ledger::Ledger,
    name,
    number::{Epoch, Offset, Version},
    process::Process,
    record::{Entry, Id, Record},
    request,
    table::{Table, Target},
};

use crate::harness::{name, row};

/// Creates a table with one service of the given number of targets and slices.
pub fn table(targets: usize, slices: u32) -> Table {
    let mut table = Table::default();
    table.data_centres.insert(name("east"), name("region"));
    let mut row = row(true);
    row.slices = slices;
    for number in 0..targets {
        let address = ([127, 0, (number / 250) as u8, (number % 250) as u8], 8080);
        let target = Target {
            address: address.into(),
            data_centre: name("east"),
            weight: 1,
            checks_epoch: true,
        };
        row.targets.insert(target_name(number), target);
    }
    table.services.insert(name("service"), row);
    table
}

/// Returns the name of the target with a number. All names have the same length.
pub fn target_name(number: usize) -> name::Target {
    name(&format!("target-{number:06}"))
}

/// Returns the process with a number, on a host of its own.
pub fn process(number: usize) -> Process {
    Process {
        host: name(&format!("host-{number:05}")),
        incarnation: 0x1234_5678_9abc_def0 + number as u64,
    }
}

/// Returns a log entry like one that a daemon writes.
pub fn entry(number: u64, record: Record) -> Entry {
    Entry {
        id: Id(u128::from(number) << 64 | 77),
        actor: process(1).to_string(),
        reason: "measurement".to_owned(),
        written_ms: 1_800_000_000_000,
        record,
    }
}

/// Creates a ledger with a table.
pub fn ledger(targets: usize, slices: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let record = Record::Table {
        base: Version(0),
        table: table(targets, slices),
    };
    ledger.apply(Offset(1), &entry(1, record));
    ledger
}

/// Applies a record at the next offset.
pub fn apply(ledger: &mut Ledger, record: Record) {
    let offset = ledger.offset().next();
    ledger.apply(offset, &entry(offset.0, record));
}

/// Returns a claim of targets for a holder.
pub fn claim(holder: usize, targets: impl Iterator<Item = usize>) -> Record {
    Record::Claim {
        holder: process(holder),
        targets: targets.map(|number| (target_name(number), None)).collect(),
        standbys: vec![process(1), process(2)],
    }
}

/// Returns an intent to run the requests with these ids.
pub fn intent(target: usize, epoch: Epoch, ids: std::ops::Range<u64>) -> Record {
    Record::Intent {
        target: target_name(target),
        epoch,
        requests: ids
            .map(|number| request::Id {
                key: ragwortrill_core::key::Digest(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                number,
            })
            .collect(),
    }
}
