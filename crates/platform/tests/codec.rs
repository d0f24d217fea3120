//! Tests the encoding of entries, batches and responses.

use ciborium::{Value, cbor};
use ragwortrill_core::{
    name,
    number::{Epoch, Offset},
    record::{Entry, Id, Record, State},
};
use ragwortrill_platform::log::{
    Batch, Bounds, Error, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, Page, Receipt, VERSION, decode,
    encode,
};

fn entry(record: Record) -> Entry {
    Entry {
        id: Id(7),
        actor: "northam-1/1f".to_owned(),
        reason: "test".to_owned(),
        written_ms: 1_800_000_000_000,
        record,
    }
}

fn host(text: &str) -> name::Host {
    text.parse().unwrap()
}

fn host_out_entry() -> Entry {
    entry(Record::Host {
        name: host("h1"),
        state: State::Out,
        after: Offset(2),
    })
}

fn bytes(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Guards against an entry that decodes to something else than what was encoded.
#[test]
fn entries_survive_a_round_trip() {
    let target: name::Target = "t1".parse().unwrap();
    let process = |incarnation| format!("h1/{incarnation:x}").parse().unwrap();
    let records = [
        Record::Host {
            name: host("h1"),
            state: State::Out,
            after: Offset(4),
        },
        Record::Claim {
            holder: process(1),
            targets: vec![(target.clone(), Some(Epoch(3))), (target.clone(), None)],
            standbys: vec![process(2)],
        },
        Record::Started {
            process: process(1),
            address: "127.0.0.1:80".parse().unwrap(),
            data_centre: "northam".parse().unwrap(),
            after: Offset(5),
        },
        Record::Snapshot {
            at: Offset(9),
            part: 0,
            parts: 1,
            bytes: (0..=255).collect(),
        },
    ];
    for record in records {
        let entry = entry(record);
        assert_eq!(decode(&encode(&entry)), Ok(entry));
    }
}

struct VersionCase {
    name: &'static str,
    value: Value,
    accepted: bool,
    message: &'static str,
}

/// Guards against a daemon that misreads an entry of a newer format version, or fails on unknown
/// fields that it may ignore.
#[test]
fn entries_of_other_versions() {
    let id = "00000000000000000000000000000007";
    let record = || {
        cbor!({"Host" => {"name" => "h1", "state" => "out", "after" => 2, "added" => 1}}).unwrap()
    };
    let cases = [
        VersionCase {
            name: "unknown fields at each level",
            value: cbor!({
                "version" => VERSION,
                "added" => [1, 2],
                "entry" => {
                    "id" => id, "actor" => "northam-1/1f", "reason" => "test",
                    "written_ms" => 1_800_000_000_000u64, "added" => "x", "record" => record(),
                },
            })
            .unwrap(),
            accepted: true,
            message: "",
        },
        VersionCase {
            name: "newer version with an entry of unknown format",
            value: cbor!({"version" => VERSION + 1, "entry" => [1, 2, 3]}).unwrap(),
            accepted: false,
            message: "an entry has version 2, but this program supports versions up to 1; \
                      upgrade it",
        },
        VersionCase {
            name: "unknown record in a supported version",
            value: cbor!({
                "version" => VERSION,
                "entry" => {
                    "id" => id, "actor" => "a", "reason" => "r", "written_ms" => 1,
                    "record" => {"Unheard" => {}},
                },
            })
            .unwrap(),
            accepted: false,
            message: "malformed log data",
        },
        VersionCase {
            name: "no version",
            value: cbor!({"entry" => {}}).unwrap(),
            accepted: false,
            message: "malformed log data",
        },
    ];
    for case in cases {
        match decode(&bytes(&case.value)) {
            Ok(entry) => {
                assert!(case.accepted, "{}", case.name);
                assert_eq!(entry, host_out_entry(), "{}", case.name);
            }
            Err(error) => {
                assert!(!case.accepted, "{}: {error}", case.name);
                let text = error.to_string();
                assert!(text.starts_with(case.message), "{}: {text}", case.name);
            }
        }
    }
}

/// Guards against accepting an entry that is truncated or followed by more bytes.
#[test]
fn truncated_and_padded_entries_are_malformed() {
    let whole = encode(&host_out_entry());
    for length in 0..whole.len() {
        let result = decode(&whole[..length]);
        assert!(matches!(result, Err(Error::Malformed(_))), "{length}");
    }
    let padded = [&whole[..], &[0]].concat();
    assert!(matches!(decode(&padded), Err(Error::Malformed(_))));
}

/// Guards against a batch above the limits, whose records might not fit into a response.
#[test]
fn batches_are_bounded() {
    let mut batch = Batch::new();
    batch.push_bytes(Id(1), vec![0; MAX_BATCH_BYTES]).unwrap();
    let error = batch.push_bytes(Id(2), vec![0]).unwrap_err();
    assert!(error.to_string().ends_with("; split it"), "{error}");
    assert_eq!(batch.len(), 1, "a refused entry is not part of the batch");

    let mut batch = Batch::new();
    for number in 0..MAX_BATCH_ENTRIES {
        batch.push_bytes(Id(number as u128), vec![]).unwrap();
    }
    let error = batch.push(&host_out_entry()).unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
}

/// Guards against a request or response body that decodes to something else than what was encoded.
#[test]
fn bodies_survive_a_round_trip() {
    let mut batch = Batch::new();
    batch.push(&host_out_entry()).unwrap();
    batch.push_bytes(Id(1), vec![1, 2]).unwrap();
    assert_eq!(Batch::from_cbor(&batch.to_cbor()), Ok(batch));

    let bounds = Bounds {
        first: Offset(3),
        end: Offset(5),
    };
    assert_eq!(Bounds::from_cbor(&bounds.to_cbor()), Ok(bounds));
    let page = Page {
        first: Offset(3),
        end: Offset(5),
        records: vec![],
        timeline: ragwortrill_core::number::Timeline(1),
    };
    assert_eq!(Page::from_cbor(&page.to_cbor()), Ok(page));
    let receipt = Receipt {
        first: Offset(3),
        last: Offset(4),
        offsets: vec![Offset(3), Offset(4)],
    };
    assert_eq!(Receipt::from_cbor(&receipt.to_cbor()), Ok(receipt));
}
