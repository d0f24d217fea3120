//! Stand-in of a target: downloads.

mod common;

use common::{Caller, run};
use ragwortrill_platform::headers;
use ragwortrill_standin::target::{Counts, Server, Settings, byte_at};

/// Length of a large download that is read to its end.
const SIZE_BYTES: u64 = 20 << 20;
/// Length of a download that is never read to its end. With 20 MiB, the buffers of the connection
/// could hold all of it, so that the target finished without its caller.
const ENDLESS_BYTES: u64 = 1 << 40;

fn start() -> Server {
    let settings = Settings {
        checks_epoch: false,
        ..Settings::default()
    };
    Server::start("t1".parse().unwrap(), settings).unwrap()
}

fn content(version: u64, start: u64, end: u64) -> Vec<u8> {
    (start..end)
        .map(|offset| byte_at(version, offset))
        .collect()
}

struct Case {
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    range: &'static str,
    /// First byte, and the byte after the last one.
    bytes: (u64, u64),
}

/// Guards against a download that resumes at the wrong byte or with another version's content.
#[test]
fn ranges() {
    const ETAG: &str = "\"1-1000\"";
    let case = |name, headers, status, range, bytes| Case {
        name,
        headers,
        status,
        range,
        bytes,
    };
    let cases = [
        case("whole", &[], 200, "", (0, 1000)),
        case(
            "part",
            &[(headers::RANGE, "bytes=10-19")],
            206,
            "bytes 10-19/1000",
            (10, 20),
        ),
        case(
            "rest",
            &[(headers::RANGE, "bytes=990-")],
            206,
            "bytes 990-999/1000",
            (990, 1000),
        ),
        case(
            "tail",
            &[(headers::RANGE, "bytes=-5")],
            206,
            "bytes 995-999/1000",
            (995, 1000),
        ),
        case(
            "long tail",
            &[(headers::RANGE, "bytes=-5000")],
            206,
            "bytes 0-999/1000",
            (0, 1000),
        ),
        case(
            "past the end",
            &[(headers::RANGE, "bytes=990-2000")],
            206,
            "bytes 990-999/1000",
            (990, 1000),
        ),
        case(
            "nothing",
            &[(headers::RANGE, "bytes=1000-")],
            416,
            "bytes */1000",
            (0, 0),
        ),
        case(
            "reversed",
            &[(headers::RANGE, "bytes=9-1")],
            200,
            "",
            (0, 1000),
        ),
        case(
            "malformed",
            &[(headers::RANGE, "lines=1-2")],
            200,
            "",
            (0, 1000),
        ),
        case(
            "same version",
            &[(headers::RANGE, "bytes=10-19"), (headers::IF_RANGE, ETAG)],
            206,
            "bytes 10-19/1000",
            (10, 20),
        ),
        case(
            "other version",
            &[
                (headers::RANGE, "bytes=10-19"),
                (headers::IF_RANGE, "\"0-1000\""),
            ],
            200,
            "",
            (0, 1000),
        ),
    ];
    run(async move {
        let server = start();
        let caller = Caller::new(server.address()).await;
        for case in cases {
            let answer = caller
                .send("GET", "/stream/1000?chunk=7", case.headers, b"")
                .await
                .unwrap();
            assert_eq!(answer.status, case.status, "{}", case.name);
            assert_eq!(answer.header("Content-Range"), case.range, "{}", case.name);
            if case.status < 300 {
                let (start, end) = case.bytes;
                assert_eq!(
                    answer.complete_body(),
                    content(1, start, end),
                    "{}",
                    case.name
                );
                assert_eq!(answer.header(headers::ETAG), ETAG, "{}", case.name);
            }
        }
        server.until(|counts| counts.running == 0).await;
        assert_eq!(server.counts().interrupted, 0);
    });
}

/// Guards against large downloads that are truncated or whose chunks are reordered.
#[test]
fn large_downloads() {
    run(async {
        let server = start();
        let caller = Caller::new(server.address()).await;
        for query in [
            "",
            "?chunked=1",
            "?chunk=100000",
            "?chunk=5000000&interval_ms=1",
        ] {
            let path = format!("/stream/{SIZE_BYTES}{query}");
            let answer = caller.send("GET", &path, &[], b"").await.unwrap();
            assert!(
                answer.complete_body() == content(1, 0, SIZE_BYTES),
                "{query}"
            );
        }
        let empty = caller.send("GET", "/stream/0", &[], b"").await.unwrap();
        assert_eq!((empty.status, empty.complete_body().len()), (200, 0));
    });
}

/// Guards against changed content with an unchanged ETag.
#[test]
fn changed_content() {
    run(async {
        let server = start();
        let caller = Caller::new(server.address()).await;
        let first = caller.send("GET", "/stream/100", &[], b"").await.unwrap();
        server.change(|settings| settings.content_version = 2);
        let etag = first.header(headers::ETAG).to_owned();
        let headers = [(headers::RANGE, "bytes=50-"), (headers::IF_RANGE, &etag)];
        let second = caller
            .send("GET", "/stream/100", &headers, b"")
            .await
            .unwrap();
        assert_eq!(second.status, 200);
        assert_ne!(second.header(headers::ETAG), etag);
        assert_eq!(second.complete_body(), content(2, 0, 100));
    });
}

/// Guards against a broken download that looks complete.
#[test]
fn broken_downloads() {
    run(async {
        let server = start();
        let caller = Caller::new(server.address()).await;
        for query in ["break_at=70000", "break_at=70000&chunked=1"] {
            let path = format!("/stream/{SIZE_BYTES}?{query}");
            let answer = caller.send("GET", &path, &[], b"").await.unwrap();
            assert!(answer.body.is_err(), "{query}");
        }
        server
            .until(|counts| counts.interrupted == 2 && counts.running == 0)
            .await;
    });
}

/// Guards against a crash after which an incomplete download looks complete.
#[test]
fn a_crash_breaks_downloads() {
    run(async {
        let mut server = start();
        let caller = Caller::new(server.address()).await;
        server.change(|settings| settings.hold = true);
        for query in ["", "?chunked=1"] {
            let path = format!("/stream/{SIZE_BYTES}{query}");
            let response = caller
                .send_until_head("GET", &path, &[], b"")
                .await
                .unwrap();
            assert_eq!(response.status().as_u16(), 200, "{query}");
            server.crash();
            assert!(response.body().await.is_err(), "{query}");
            server.restart().unwrap();
        }
        assert_eq!(server.counts().interrupted, 2);
    });
}

/// Guards against a download that keeps its slot after its caller has disconnected, whether it
/// waits for the caller to read or for its own next chunk.
#[test]
fn a_download_ends_with_its_caller() {
    for hold in [false, true] {
        run(async move {
            let server = start();
            server.change(|settings| settings.hold = hold);
            let caller = Caller::new(server.address()).await;
            let path = format!("/stream/{ENDLESS_BYTES}");
            let response = caller
                .send_until_head("GET", &path, &[], b"")
                .await
                .unwrap();
            server.until(|counts| counts.running == 1).await;
            drop(response);
            let ended = |counts: &Counts| counts.interrupted == 1 && counts.running == 0;
            server.until(ended).await;
        });
    }
}
