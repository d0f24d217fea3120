//! Size of what the leader sends to other hosts.

use std::fmt::Write;

use bytes::Bytes;
use ragwortrill_core::{number::Offset, time::Instant};
use ragwortrill_entry::{protocol::Record, relay::Changes, replica::Replica};

/// Routes of a large configuration.
const ROUTES: usize = 1_400;

struct Case {
    name: &'static str,
    value: Vec<u8>,
    /// Largest size of the encoded changes, in percent of the value.
    max_percent: usize,
}

/// Returns a configuration in which each route differs from the others as operators' routes do.
fn configuration() -> Vec<u8> {
    let mut text = String::from(r#"{"Version":8,"Listeners":[{"Host":"shop.example","Rules":["#);
    for route in 0..ROUTES {
        let id = route.wrapping_mul(2_654_435_761) % 0xffff_ffff;
        write!(
            text,
            r#"{{"Name":"r-{id:08x}","RouteType":"safe","TargetLatency":"2s","Priority":2,"Match":{{"PathPrefix":"/{id:x}/"}},"Action":{{"Service":"lookup"}}}},"#
        )
        .unwrap();
    }
    text.push_str("]}]}");
    text.into_bytes()
}

/// Returns bytes that can't be compressed.
fn noise(length: usize) -> Vec<u8> {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let mut byte = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..length).map(|_| byte()).collect()
}

fn replica(records: &[Record]) -> Replica {
    let mut replica = Replica::default();
    replica.advance(Offset(1), Instant(0));
    for record in records {
        replica.store(record);
        replica.advance(record.offset.next(), Instant(0));
    }
    replica
}

fn encode(changes: &Changes) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(changes, &mut encoded).unwrap();
    encoded
}

/// Guards against a large configuration that takes the leader's link and processor for seconds, as it
/// is sent to every host, so that it takes effect late.
#[test]
fn large_records_are_relayed_in_few_bytes() {
    let cases = [
        Case {
            name: "configuration",
            value: configuration(),
            max_percent: 15,
        },
        Case {
            name: "noise",
            value: noise(100_000),
            max_percent: 101,
        },
        Case {
            name: "entry of a target",
            value: br#"{"Id":"i-51637e2c9b","Service":"lookup","Zone":"a","Slots":6,"State":"ready","Addr":"10.2.64.47:8001"}"#.to_vec(),
            max_percent: 160,
        },
    ];
    for case in cases {
        let record = Record {
            key: "config".to_owned(),
            value: Some(Bytes::from(case.value.clone())),
            offset: Offset(8),
        };
        let replica = replica(std::slice::from_ref(&record));
        let changes = Changes::since(&replica, Some(Offset(1)), Instant(0), true).unwrap();
        let encoded = encode(&changes);
        let percent = encoded.len() * 100 / case.value.len();
        println!(
            "{}: {} of {} bytes",
            case.name,
            encoded.len(),
            case.value.len()
        );
        assert!(
            percent <= case.max_percent,
            "{}: {percent} percent",
            case.name
        );
        let decoded: Changes = ciborium::from_reader(encoded.as_slice()).unwrap();
        assert_eq!(decoded.into_records().unwrap(), [record], "{}", case.name);
    }
}

/// Guards against changes that a host applies in another order than the store's, so that an older
/// record of a key would replace a newer one.
#[test]
fn compressed_and_plain_records_keep_their_order() {
    let large = Bytes::from(configuration());
    let small = Bytes::from_static(b"{}");
    let values = [&small, &large, &small, &large];
    let records: Vec<Record> = values
        .into_iter()
        .zip(1..)
        .map(|(value, offset)| Record {
            key: format!("key-{offset}"),
            value: Some(value.clone()),
            offset: Offset(offset),
        })
        .collect();
    let changes = Changes::since(&replica(&records), None, Instant(0), true).unwrap();
    let decoded: Changes = ciborium::from_reader(encode(&changes).as_slice()).unwrap();
    assert_eq!(decoded.into_records().unwrap(), records);
}
