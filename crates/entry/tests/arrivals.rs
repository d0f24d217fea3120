//! Arrival times of the bytes in a read buffer.

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_entry::arrivals::Arrivals;

/// Time at which the connection was established.
const SINCE_MS: u64 = 1_000;
/// Length of each read.
const READ_BYTES: usize = 100;

#[derive(Clone, Copy)]
struct Read {
    at_ms: u64,
    lag_ms: u64,
    /// Whether the read took all bytes that were there.
    is_drained: bool,
}

struct Case<'a> {
    name: &'static str,
    reads: &'a [Read],
    /// Bytes that are left in the buffer.
    left: usize,
    oldest_ms: Option<u64>,
}

fn at(millis: u64) -> Instant {
    Instant(Span::from_millis(millis).0)
}

fn read(at_ms: u64, lag_ms: u64, is_drained: bool) -> Read {
    Read {
        at_ms,
        lag_ms,
        is_drained,
    }
}

/// Guards against a host that takes requests for new when it parses them, and against one that takes
/// a new request on a kept connection for as old as its event loop is late.
#[test]
fn bytes_are_as_old_as_they_can_be() {
    let cases = [
        Case {
            name: "empty buffer",
            reads: &[],
            left: 0,
            oldest_ms: None,
        },
        Case {
            name: "event loop on time",
            reads: &[read(5_000, 0, true)],
            left: 100,
            oldest_ms: Some(5_000),
        },
        Case {
            name: "late event loop",
            reads: &[read(9_000, 3_000, true)],
            left: 100,
            oldest_ms: Some(6_000),
        },
        Case {
            name: "connection that is newer than the event loop is late",
            reads: &[read(9_000, 8_500, true)],
            left: 100,
            oldest_ms: Some(SINCE_MS),
        },
        Case {
            name: "kept connection that was drained before",
            reads: &[read(5_000, 0, true), read(9_000, 8_500, true)],
            left: 100,
            oldest_ms: Some(5_000),
        },
        Case {
            name: "bytes of an earlier read are left",
            reads: &[read(5_000, 0, true), read(9_000, 0, true)],
            left: 101,
            oldest_ms: Some(5_000),
        },
        Case {
            name: "bytes that an earlier read left unread",
            reads: &[read(5_000, 1_000, false), read(9_000, 8_500, true)],
            left: 100,
            oldest_ms: Some(4_000),
        },
    ];
    for case in cases {
        let mut arrivals = Arrivals::new(at(SINCE_MS));
        let mut buffered = 0;
        for read in case.reads {
            buffered += READ_BYTES;
            let lag = Span::from_millis(read.lag_ms);
            arrivals.record(at(read.at_ms), lag, buffered, read.is_drained);
        }
        arrivals.retain(case.left);
        let oldest_ms = arrivals.oldest().map(|at| at.since(Instant(0)).as_millis());
        assert_eq!(oldest_ms, case.oldest_ms, "{}", case.name);
    }
}
