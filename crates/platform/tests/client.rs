//! Tests the errors of the clients against a server that answers with fixed bytes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use ntex::rt;
use ragwortrill_core::{
    number::{Epoch, Offset},
    record::Id,
    request,
    time::Span,
};
use ragwortrill_platform::{error, hosts, log, target};

/// Timeout for servers that answer, long enough for a busy machine.
const LONG_TIMEOUT: Span = Span::from_secs(30);
/// Timeout for a server that never answers.
const SHORT_TIMEOUT: Span = Span::from_millis(200);

fn run(test: impl Future<Output = ()> + 'static) {
    rt::System::new("test", rt::DefaultRuntime).block_on(test);
}

/// Answers one request with fixed bytes and closes the connection.
fn serve_once(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        receive(&mut stream);
        // In some cases the client closes the connection before it has read everything.
        let _ = stream.write_all(&response);
    });
    address
}

/// Reads a whole request. Closing the socket with unread bytes would reset the connection, and the
/// client could lose the response.
fn receive(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).unwrap();
}

fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns an address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn query(from: u64) -> log::Query {
    log::Query {
        from: Offset(from),
        max: 10,
        wait_ms: 0,
    }
}

fn batch() -> log::Batch {
    let mut batch = log::Batch::new();
    batch.push_bytes(Id(1), vec![1]).unwrap();
    batch
}

fn page(offsets: &[u64], end: u64) -> Vec<u8> {
    let row = |offset: &u64| log::Row {
        offset: Offset(*offset),
        id: Id(1),
        bytes: vec![],
    };
    let page = log::Page {
        first: Offset(1),
        end: Offset(end),
        records: offsets.iter().map(row).collect(),
        timeline: ragwortrill_core::number::Timeline(0),
    };
    page.to_cbor()
}

struct Case {
    name: &'static str,
    response: Vec<u8>,
    expected: &'static str,
}

/// Guards against accepting a page that is malformed, truncated or out of order.
#[test]
fn reads_reject_invalid_pages() {
    let huge = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        (4 << 20) + 1
    );
    let bounds = log::Bounds {
        first: Offset(40),
        end: Offset(50),
    };
    let cases = [
        Case {
            name: "valid",
            response: response("200 OK", &page(&[5, 6], 6)),
            expected: "",
        },
        Case {
            name: "not HTTP",
            response: b"hello\r\n\r\n".to_vec(),
            expected: "malformed log data",
        },
        Case {
            name: "not CBOR",
            response: response("200 OK", b"\xff"),
            expected: "malformed log data",
        },
        Case {
            name: "gap between records",
            response: response("200 OK", &page(&[5, 7], 7)),
            expected: "malformed log data (offset 7 instead of 6",
        },
        Case {
            name: "first record is not the requested one",
            response: response("200 OK", &page(&[4], 7)),
            expected: "malformed log data (offset 4 instead of 5",
        },
        Case {
            name: "record past the end",
            response: response("200 OK", &page(&[5, 6], 5)),
            expected: "malformed log data (offset 6 instead of 6, the log ends at 5",
        },
        Case {
            name: "closed before the response",
            response: vec![],
            expected: "the log service failed before its response was complete",
        },
        Case {
            name: "closed in the middle of the response",
            response: b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nabc".to_vec(),
            expected: "the log service failed before its response was complete",
        },
        Case {
            name: "too large",
            response: huge.into_bytes(),
            expected: "the answer has more bytes, more than 4194304; split it",
        },
        Case {
            name: "expired",
            response: response("410 Gone", &bounds.to_cbor()),
            expected: "records before 40 have expired, including the requested offset 5",
        },
        Case {
            name: "expired without bounds",
            response: response("410 Gone", b""),
            expected: "malformed log data",
        },
        Case {
            name: "overloaded",
            response: response("503 Service Unavailable", b"later"),
            expected: "the log service refused the request (503 Service Unavailable: later)",
        },
        Case {
            name: "internal server error",
            response: response("500 Internal Server Error", b""),
            expected: "the log service failed before its response was complete (500",
        },
    ];
    for case in cases {
        run(async move {
            let client = log::Client::new(serve_once(case.response), LONG_TIMEOUT).await;
            let message = client
                .read(query(5))
                .await
                .map_or_else(|e| e.to_string(), |_| String::new());
            let as_expected = message.starts_with(case.expected)
                && message.is_empty() == case.expected.is_empty();
            assert!(as_expected, "{}: {message}", case.name);
        });
    }
}

struct Append {
    name: &'static str,
    response: Vec<u8>,
    may_have_taken_effect: bool,
}

/// Guards against a client that reports an append as one without effect although it may be in the
/// log.
#[test]
fn failed_appends_report_whether_they_may_have_taken_effect() {
    let receipt = |first, last| {
        let receipt = log::Receipt {
            first: Offset(first),
            last: Offset(last),
            offsets: (first..=last).map(Offset).collect(),
        };
        response("200 OK", &receipt.to_cbor())
    };
    let cases = [
        Append {
            name: "closed before the response",
            response: vec![],
            may_have_taken_effect: true,
        },
        Append {
            name: "receipt for another number of entries",
            response: receipt(3, 4),
            may_have_taken_effect: true,
        },
        Append {
            name: "internal server error",
            response: response("500 Internal Server Error", b""),
            may_have_taken_effect: true,
        },
        Append {
            name: "bad gateway",
            response: response("502 Bad Gateway", b""),
            may_have_taken_effect: true,
        },
        Append {
            name: "too many requests",
            response: response("429 Too Many Requests", b""),
            may_have_taken_effect: false,
        },
        Append {
            name: "rejected as malformed",
            response: response("400 Bad Request", b""),
            may_have_taken_effect: false,
        },
        Append {
            name: "rejected as too large",
            response: response("413 Payload Too Large", b""),
            may_have_taken_effect: false,
        },
    ];
    for case in cases {
        run(async move {
            let client = log::Client::new(serve_once(case.response), LONG_TIMEOUT).await;
            let error = client.append(&batch()).await.unwrap_err();
            let may = error.may_have_taken_effect();
            assert_eq!(may, case.may_have_taken_effect, "{}: {error}", case.name);
        });
    }
}

/// Guards against a client that waits forever for a silent service, or reports a request to a
/// closed port as one that may have taken effect.
#[test]
fn silent_and_closed_services_are_told_apart() {
    run(async {
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = log::Client::new(silent.local_addr().unwrap(), SHORT_TIMEOUT).await;
        let error = client.append(&batch()).await.unwrap_err();
        assert_eq!(error, log::Error::TimedOut { millis: 200 });
        assert!(error.may_have_taken_effect());

        let client = log::Client::new(closed_address(), LONG_TIMEOUT).await;
        let error = client.append(&batch()).await.unwrap_err();
        assert!(matches!(error, log::Error::Refused(_)), "{error}");

        let client = hosts::Client::new(closed_address(), LONG_TIMEOUT).await;
        let error = client.list().await.unwrap_err();
        assert!(!error.may_have_taken_effect(), "{error}");
    });
}

/// Guards against accepting a host list or a load report that does not have the documented form.
#[test]
fn malformed_json_is_rejected() {
    let cases = [
        response("200 OK", b"{"),
        response("200 OK", b"[{\"host\": \"H 1\"}]"),
        response("200 OK", b"[1]"),
        response("404 Not Found", b"[]"),
    ];
    for response in cases {
        let shown = String::from_utf8_lossy(&response).into_owned();
        run(async move {
            let client = hosts::Client::new(serve_once(response.clone()), LONG_TIMEOUT).await;
            let error = client.list().await.unwrap_err();
            assert!(
                matches!(error, error::Error::Malformed { .. }),
                "{shown}: {error}"
            );
            let client = target::Client::new(serve_once(response), LONG_TIMEOUT).await;
            let error = client.load().await.unwrap_err();
            let malformed = target::Error::Http(error::Error::Malformed {
                peer: String::new(),
                reason: String::new(),
            });
            let same = std::mem::discriminant(&error) == std::mem::discriminant(&malformed);
            assert!(
                same && error.to_string().contains("malformed"),
                "{shown}: {error}"
            );
        });
    }
}

/// Guards against a client that hides that a target has seen a higher epoch, is draining or no
/// longer has a request: its owner would keep sending to a target that it no longer owns.
#[test]
fn control_errors_of_targets_are_reported() {
    run(async {
        let grant = target::Grant {
            epoch: Epoch(5),
            ttl_ms: 1_500,
            from_ms: 0,
            start_id: None,
        };
        let stale = serve_once(response("409 Conflict", b"{\"highest\": 9}"));
        let client = target::Client::new(stale, LONG_TIMEOUT).await;
        let error = client.grant(grant).await.unwrap_err();
        let expected = target::Error::StaleEpoch {
            granted: Epoch(5),
            highest: Epoch(9),
        };
        assert_eq!(error, expected);

        let draining = serve_once(response("503 Service Unavailable", b"draining"));
        let client = target::Client::new(draining, LONG_TIMEOUT).await;
        let error = client.health().await.unwrap_err();
        assert!(error.to_string().contains("refused"), "{error}");

        let gone = serve_once(response("404 Not Found", b""));
        let client = target::Client::new(gone, LONG_TIMEOUT).await;
        let cancelled = client.cancel(request::Id::default()).await;
        assert_eq!(cancelled, Ok(target::Cancellation::Unknown));
    });
}
