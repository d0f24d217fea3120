//! What a replica relays after records expired before they were read.

use std::collections::BTreeSet;

use bytes::Bytes;
use ragwortrill_core::{number::Offset, time::Instant};
use ragwortrill_entry::{protocol::Record, relay::Changes, replica::Replica};

/// Offset before which the first list of each case was read.
const FIRST_END: Offset = Offset(10);
/// Offset before which the list after the expired records was read.
const SECOND_END: Offset = Offset(20);

struct Case {
    name: &'static str,
    /// Key and offset of each record of the second list.
    listed: &'static [(&'static str, u64)],
    /// Key and offset of a record that was read meanwhile from a later place.
    later: Option<(&'static str, u64)>,
    /// Offset from which another host needs records.
    from: Option<Offset>,
    /// Keys that the host gets.
    relayed: &'static [&'static str],
    is_complete: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "a host that starts gets no removed key",
        listed: &[("kept", 8)],
        later: None,
        from: None,
        relayed: &["kept"],
        is_complete: true,
    },
    Case {
        name: "a host that missed the expired records gets the complete list",
        listed: &[("kept", 8), ("new", 15)],
        later: None,
        from: Some(FIRST_END),
        relayed: &["kept", "new"],
        is_complete: true,
    },
    Case {
        name: "a host that has read the list gets nothing",
        listed: &[("kept", 8), ("new", 15)],
        later: None,
        from: Some(SECOND_END),
        relayed: &[],
        is_complete: false,
    },
    Case {
        name: "a record after the list is kept",
        listed: &[("kept", 8)],
        later: Some(("late", 21)),
        from: None,
        relayed: &["kept", "late"],
        is_complete: true,
    },
    Case {
        name: "a listed key that was written again is relayed once",
        listed: &[("kept", 18)],
        later: None,
        from: Some(FIRST_END),
        relayed: &["kept"],
        is_complete: true,
    },
];

fn record(key: &str, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(Bytes::from_static(b"{}")),
        offset: Offset(offset),
    }
}

/// Returns the replica of a host that had read the keys `kept` and `gone` when records expired, and
/// has listed the topic again.
fn relisted(case: &Case) -> Replica {
    let mut replica = Replica::default();
    replica.store(&record("kept", 8));
    replica.store(&record("gone", 9));
    replica.advance(FIRST_END, Instant(0));
    replica.reset();
    if let Some((key, offset)) = case.later {
        replica.store(&record(key, offset));
    }
    let listed: BTreeSet<&str> = case.listed.iter().map(|(key, _)| *key).collect();
    replica.retain(&listed, SECOND_END);
    for (key, offset) in case.listed {
        replica.store(&record(key, *offset));
    }
    replica.advance(SECOND_END, Instant(0));
    replica
}

/// Guards against a target or a command that was removed while records expired, and that a relay
/// still passes on to hosts, and against hosts that read the store since their relay left the topic
/// out of its answers.
#[test]
fn expired_records_leave_no_removed_key_and_no_host_without_records() {
    for case in &CASES {
        let replica = relisted(case);
        let changes = Changes::since(&replica, case.from, Instant(0), false)
            .unwrap_or_else(|| panic!("{}: the topic was left out", case.name));
        let mut encoded = Vec::new();
        ciborium::into_writer(&changes, &mut encoded).unwrap();
        let value: ciborium::Value = ciborium::from_reader(encoded.as_slice()).unwrap();
        let fields = value.as_map().unwrap();
        let is_complete = fields
            .iter()
            .find(|(name, _)| name.as_text() == Some("is_complete"));
        let is_complete = is_complete.unwrap().1.as_bool().unwrap();
        let records = changes.into_records().unwrap();
        let relayed: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
        assert_eq!(relayed, case.relayed, "{}", case.name);
        assert_eq!(is_complete, case.is_complete, "{}", case.name);
    }
}
