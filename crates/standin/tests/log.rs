//! Stand-in of the log service and its faults, tested through the client.

mod common;

use common::{Caller, LONG_TIMEOUT, ONE_HOUR, run};
use ragwortrill_core::{number::Offset, record::Id};
use ragwortrill_platform::log::{
    Batch, Client, Error, MAX_BATCH_BYTES, MAX_RESPONSE_BYTES, PATH, Query,
};
use ragwortrill_standin::log::{Faults, Server};

fn batch(ids: &[u128]) -> Batch {
    let mut batch = Batch::new();
    for id in ids {
        batch
            .push_bytes(Id(*id), id.to_be_bytes().to_vec())
            .unwrap();
    }
    batch
}

fn query(from: u64, max: u32, wait_ms: u64) -> Query {
    let from = Offset(from);
    Query { from, max, wait_ms }
}

fn ids(server: &Server) -> Vec<u128> {
    server.rows().iter().map(|row| row.id.0).collect()
}

/// Guards against a log that reorders, loses or splits batches.
#[test]
fn appends_are_read_in_order() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let bounds = client.bounds().await.unwrap();
        assert_eq!((bounds.first, bounds.end), (Offset(1), Offset(0)));

        client.append(&batch(&[11, 12])).await.unwrap();
        let receipt = client.append(&batch(&[13])).await.unwrap();
        assert_eq!((receipt.first, receipt.last), (Offset(3), Offset(3)));

        let page = client.read(query(2, 10, 0)).await.unwrap();
        let read: Vec<_> = page
            .records
            .iter()
            .map(|row| (row.offset.0, row.id.0))
            .collect();
        assert_eq!(read, [(2, 12), (3, 13)]);
        assert_eq!((page.first, page.end), (Offset(1), Offset(3)));
        assert_eq!(page.records[0].bytes, 12u128.to_be_bytes());
        let page = client.read(query(0, 1, 0)).await.unwrap();
        assert_eq!(
            page.records[0].id,
            Id(11),
            "offset 0 reads from the first record"
        );
    });
}

/// Guards against a long poll that misses a record or never ends.
#[test]
fn long_polls() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        let page = client.read(query(1, 10, 1)).await.unwrap();
        assert!(page.records.is_empty(), "the wait ends without a record");

        let poll = ntex::rt::spawn({
            let client = client.clone();
            async move { client.read(query(1, 10, 60_000)).await }
        });
        client.append(&batch(&[1])).await.unwrap();
        assert_eq!(poll.await.unwrap().unwrap().records[0].id, Id(1));

        let poll = ntex::rt::spawn({
            let client = client.clone();
            async move { client.read(query(2, 10, 60_000)).await }
        });
        server.change(|faults| faults.down = true);
        assert!(poll.await.unwrap().is_err(), "an outage ends the wait");
    });
}

/// Guards against an answer above the size limit, which the client would reject at each retry.
#[test]
fn answers_are_bounded() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        for id in 0..6 {
            let mut batch = Batch::new();
            batch.push_bytes(Id(id), vec![0; MAX_BATCH_BYTES]).unwrap();
            client.append(&batch).await.unwrap();
        }
        let mut next = 1;
        while next <= 6 {
            let page = client.read(query(next, 10, 0)).await.unwrap();
            assert!(!page.records.is_empty(), "reading makes progress");
            assert!(page.to_cbor().len() <= MAX_RESPONSE_BYTES);
            next = page.records.last().unwrap().offset.0 + 1;
        }
    });
}

type Expected = fn(&Error) -> bool;

struct Case {
    name: &'static str,
    faults: Faults,
    expected: Option<Expected>,
    /// Identifiers in the log after 7, which it contains already, is appended again.
    written: &'static [u128],
}

/// Guards against a fault without effect, or with more effect than documented.
#[test]
fn faults_of_appends() {
    let none = Faults::default;
    let cases = [
        Case {
            name: "no fault",
            faults: none(),
            expected: None,
            written: &[7, 7],
        },
        Case {
            name: "down",
            faults: Faults {
                down: true,
                ..none()
            },
            expected: Some(|error| matches!(error, Error::Lost(_))),
            written: &[7],
        },
        Case {
            name: "lost answer",
            faults: Faults {
                lost_answers: 1,
                ..none()
            },
            expected: Some(|error| matches!(error, Error::Lost(_))),
            written: &[7, 7],
        },
        Case {
            name: "too many appends a second",
            faults: Faults {
                appends_per_second: Some(0),
                ..none()
            },
            expected: Some(|error| matches!(error, Error::Refused(_))),
            written: &[7],
        },
        Case {
            name: "retention",
            faults: Faults {
                retained: Some(1),
                ..none()
            },
            expected: None,
            written: &[7],
        },
    ];
    for case in cases {
        run(async move {
            let server = Server::start().unwrap();
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            server.append(&batch(&[7]));
            server.change(|faults| *faults = case.faults);
            let result = client.append(&batch(&[7])).await;
            match (&result, case.expected) {
                (Ok(_), None) => {}
                (Err(error), Some(expected)) => assert!(expected(error), "{}: {error}", case.name),
                (result, _) => panic!("{}: {result:?}", case.name),
            }
            assert_eq!(ids(&server), case.written, "{}", case.name);

            server.change(|faults| *faults = Faults::default());
            let appended = client.append(&batch(&[8])).await;
            assert!(
                appended.is_ok(),
                "{}: the fault ends: {appended:?}",
                case.name
            );
        });
    }
}

struct Delay {
    name: &'static str,
    faults: Faults,
    /// Identifiers in the log while the second append of 7 is delayed.
    written: &'static [u128],
}

/// Guards against a delay before the write that should follow it, or the other way round.
#[test]
fn delays_of_appends() {
    let none = Faults::default;
    let cases = [
        Delay {
            name: "slow",
            faults: Faults {
                delay: ONE_HOUR,
                ..none()
            },
            written: &[7],
        },
        Delay {
            name: "slow answer",
            faults: Faults {
                answer_delay: ONE_HOUR,
                ..none()
            },
            written: &[7, 7],
        },
        Delay {
            name: "slow answer to a duplicate",
            faults: Faults {
                duplicate_answer_delay: ONE_HOUR,
                ..none()
            },
            written: &[7, 7],
        },
    ];
    for case in cases {
        run(async move {
            let server = Server::start().unwrap();
            let client = Client::new(server.address(), LONG_TIMEOUT).await;
            server.append(&batch(&[7]));
            server.change(|faults| *faults = case.faults);
            let append = ntex::rt::spawn(async move { client.append(&batch(&[7])).await });
            server.until_received(1).await;
            server.until_end(Offset(case.written.len() as u64)).await;
            assert_eq!(ids(&server), case.written, "{}", case.name);
            assert!(!append.is_finished(), "{}", case.name);

            server.change(|faults| *faults = Faults::default());
            append.await.unwrap().unwrap();
            assert_eq!(ids(&server), [7, 7], "{}", case.name);
        });
    }
}

/// Guards against delayed requests that an outage of the service does not break.
#[test]
fn an_outage_breaks_delayed_requests() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        server.change(|faults| faults.delay = ONE_HOUR);
        let append = ntex::rt::spawn(async move { client.append(&batch(&[7])).await });
        server.until_received(1).await;
        server.change(|faults| faults.down = true);
        assert!(append.await.unwrap().is_err());
        assert!(ids(&server).is_empty());
    });
}

/// Guards against more lost answers than were configured.
#[test]
fn only_so_many_answers_are_lost() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        server.change(|faults| faults.lost_answers = 2);
        for id in 1..=2 {
            let error = client.append(&batch(&[id])).await.unwrap_err();
            assert!(error.may_have_taken_effect(), "{error}");
        }
        client.append(&batch(&[3])).await.unwrap();
        assert_eq!(ids(&server), [1, 2, 3]);
    });
}

/// Guards against an append limit that refuses too early or never.
#[test]
fn appends_per_second() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        server.change(|faults| faults.appends_per_second = Some(3));
        let mut accepted = 0;
        // Even a slow machine sends this many appends at a rate above three per second.
        while accepted < 1_000 && client.append(&batch(&[1])).await.is_ok() {
            accepted += 1;
        }
        assert!((3..1_000).contains(&accepted), "{accepted}");
        assert_eq!(server.rows().len(), accepted);
    });
}

/// Guards against a read of expired records that returns later ones instead of an error.
#[test]
fn expired_offsets() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        client.append(&batch(&[1, 2, 3, 4])).await.unwrap();
        server.change(|faults| faults.retained = Some(2));
        let error = client.read(query(2, 10, 0)).await.unwrap_err();
        let (from, first) = (Offset(2), Offset(3));
        assert_eq!(error, Error::Expired { from, first });
        assert_eq!(client.read(query(3, 10, 0)).await.unwrap().records.len(), 2);
        assert_eq!(client.bounds().await.unwrap().first, first);

        server.change(|faults| faults.retained = Some(0));
        let bounds = client.bounds().await.unwrap();
        assert_eq!((bounds.first, bounds.end), (Offset(5), Offset(4)));
        let page = client.read(query(5, 10, 0)).await.unwrap();
        assert!(page.records.is_empty(), "the next offset has not expired");
    });
}

struct Malformed {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    body: Vec<u8>,
    status: u16,
}

/// Guards against a malformed request that changes the log or stops the service.
#[test]
fn malformed_requests_are_refused() {
    let case = |name, method, path, body: &[u8], status| Malformed {
        name,
        method,
        path,
        body: body.to_vec(),
        status,
    };
    let valid = batch(&[1]).to_cbor();
    let cases = [
        case("garbage", "POST", PATH, b"\xff\xff", 400),
        case("empty", "POST", PATH, b"", 400),
        case("no entry", "POST", PATH, b"\x80", 400),
        case("cut", "POST", PATH, &valid[..valid.len() - 1], 400),
        case("padded", "POST", PATH, &[&valid[..], b"\0"].concat(), 400),
        case(
            "huge announced length",
            "POST",
            PATH,
            b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
            400,
        ),
        case("too large", "POST", PATH, &vec![0; 2 << 20], 413),
        case("no offset", "GET", "/v1/records?max=1", b"", 400),
        case("no number", "GET", "/v1/records?from=x&max=1", b"", 400),
        case("negative", "GET", "/v1/records?from=-1&max=1", b"", 400),
        case("wrong method", "DELETE", PATH, b"", 405),
        case("wrong path", "GET", "/v2/records", b"", 404),
    ];
    run(async move {
        let server = Server::start().unwrap();
        let caller = Caller::new(server.address()).await;
        for case in cases {
            let sent = caller.send(case.method, case.path, &[], &case.body).await;
            // The service may close the connection before it has read the whole oversized body.
            let status = sent.as_ref().map_or(413, |answer| answer.status);
            assert_eq!(status, case.status, "{}: {sent:?}", case.name);
            assert!(server.rows().is_empty(), "{}", case.name);
        }
    });
}

/// Guards against a service that keeps running after it was stopped.
#[test]
fn a_stopped_service_refuses_connections() {
    run(async {
        let server = Server::start().unwrap();
        let client = Client::new(server.address(), LONG_TIMEOUT).await;
        client.append(&batch(&[1])).await.unwrap();
        server.stop();
        let error = client.append(&batch(&[2])).await.unwrap_err();
        // The client detects the closed connection either before or while it sends.
        assert!(
            matches!(error, Error::Refused(_) | Error::Lost(_)),
            "{error}"
        );
        let error = client.append(&batch(&[2])).await.unwrap_err();
        assert!(matches!(error, Error::Refused(_)), "{error}");
    });
}
