//! Messages between hosts and records in the store, exchanged with hosts of an earlier release.

mod earlier;

use std::{fmt::Debug, fs, path::Path};

use bytes::Bytes;
use ragwortrill_core::{number::Offset, time::Instant};
use ragwortrill_entry::{
    lease::Term,
    protocol::Record,
    reach::View,
    recovery::Memory,
    relay::{Changes, Known, Report, Update},
    replica::Replica,
    shared::Host,
};
use ragwortrill_router::{assignment::Range, registration::Incarnation};
use serde::{Serialize, de::DeserializeOwned};

/// A message or record as a host of an earlier release wrote it, and how it reads what this release
/// makes of it.
struct Case {
    file: &'static str,
    round_trip: fn(&[u8]) -> (String, String),
}

fn read(file: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/messages");
    let text = fs::read_to_string(path.join(file)).unwrap();
    let text = text.trim();
    if file.ends_with(".json") {
        return text.as_bytes().to_vec();
    }
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(value, &mut encoded).unwrap();
    encoded
}

/// Returns a message as the earlier release reads it, before and after this release has decoded and
/// encoded it.
fn message<Old, New>(golden: &[u8]) -> (String, String)
where
    Old: Debug + DeserializeOwned,
    New: DeserializeOwned + Serialize,
{
    let before: Old = ciborium::from_reader(golden).unwrap();
    let decoded: New = ciborium::from_reader(golden).unwrap();
    let after: Old = ciborium::from_reader(encode(&decoded).as_slice()).unwrap();
    (format!("{before:?}"), format!("{after:?}"))
}

/// The same for a record in the store.
fn record<Old, New>(golden: &[u8]) -> (String, String)
where
    Old: Debug + DeserializeOwned,
    New: DeserializeOwned + Serialize,
{
    let before: Old = serde_json::from_slice(golden).unwrap();
    let decoded: New = serde_json::from_slice(golden).unwrap();
    let encoded = serde_json::to_vec(&decoded).unwrap();
    let after: Old = serde_json::from_slice(&encoded).unwrap();
    (format!("{before:?}"), format!("{after:?}"))
}

/// Guards against a host that can't read the messages and records of hosts of the earlier release,
/// or writes some that they can't read, while hosts are replaced one after the other.
#[test]
fn messages_and_records_are_exchanged_with_the_earlier_release() {
    let cases = [
        Case {
            file: "report-3898a17.hex",
            round_trip: message::<earlier::Report, Report>,
        },
        Case {
            file: "report-7d27191.hex",
            round_trip: message::<earlier::Report, Report>,
        },
        Case {
            file: "update-3898a17.hex",
            round_trip: message::<earlier::Update, Update>,
        },
        Case {
            file: "update-7d27191.hex",
            round_trip: message::<earlier::Update, Update>,
        },
        Case {
            file: "memory-7d27191.hex",
            round_trip: message::<earlier::Memory, Memory>,
        },
        Case {
            file: "question-7d27191.hex",
            round_trip: message::<earlier::Incarnation, Incarnation>,
        },
        Case {
            file: "view-reached-7d27191.hex",
            round_trip: message::<earlier::View, View>,
        },
        Case {
            file: "view-refused-7d27191.hex",
            round_trip: message::<earlier::View, View>,
        },
        Case {
            file: "view-silent-7d27191.hex",
            round_trip: message::<earlier::View, View>,
        },
        Case {
            file: "view-unknown-7d27191.hex",
            round_trip: message::<earlier::View, View>,
        },
        Case {
            file: "host-3898a17.json",
            round_trip: record::<earlier::Host, Host>,
        },
        Case {
            file: "host-7d27191.json",
            round_trip: record::<earlier::Host, Host>,
        },
        Case {
            file: "range-held-7d27191.json",
            round_trip: record::<earlier::Range, Range>,
        },
        Case {
            file: "range-moving-7d27191.json",
            round_trip: record::<earlier::Range, Range>,
        },
        Case {
            file: "term-7d27191.json",
            round_trip: record::<earlier::Term, Term>,
        },
    ];
    for case in cases {
        let (before, after) = (case.round_trip)(&read(case.file));
        assert_eq!(before, after, "{}", case.file);
    }
}

/// Guards against a leader that sends compressed records to a host of a release that can't read
/// them: it would take the configuration as unchanged.
#[test]
fn earlier_releases_get_large_records_uncompressed() {
    let value = vec![b'a'; 100_000];
    let mut replica = Replica::default();
    replica.advance(Offset(1), Instant(0));
    replica.store(&Record {
        key: "config".to_owned(),
        value: Some(Bytes::from(value.clone())),
        offset: Offset(8),
    });
    replica.advance(Offset(9), Instant(0));
    let cases = [
        (false, vec![("config".to_owned(), Some(value), 8)]),
        (true, Vec::new()),
    ];
    for (compresses, records) in cases {
        let changes = Changes::since(&replica, Some(Offset(1)), Instant(0), compresses).unwrap();
        let decoded: earlier::Changes = ciborium::from_reader(encode(&changes).as_slice()).unwrap();
        assert_eq!(decoded.records, records, "compresses: {compresses}");
    }
}

/// Guards against a host that keeps verdicts which a leader of the earlier release has withdrawn, and
/// against one that such a leader answers without a pause, since it reports no version of them.
#[test]
fn leaders_of_the_earlier_release_send_all_verdicts() {
    let update: Update = ciborium::from_reader(read("update-7d27191.hex").as_slice()).unwrap();
    let withdrawn: Update = ciborium::from_reader(read("update-3898a17.hex").as_slice()).unwrap();
    let mut known = Known::default();
    known.learn(&update);
    assert_eq!((known.version, known.digests), (6, None));
    assert_eq!(
        (known.verdicts.suspects.len(), known.verdicts.held.len()),
        (2, 1)
    );
    known.learn(&withdrawn);
    assert_eq!(
        (known.verdicts.suspects.len(), known.verdicts.held.len()),
        (2, 0)
    );
}
