//! Calls whose responses arrive slowly.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use ragwortrill_entry::call::{Call, Client, Error};

/// Time without a byte after which a call fails.
const IDLE: Duration = Duration::from_millis(400);
/// Time after which a call fails in any case.
const TOTAL: Duration = Duration::from_millis(2_500);
/// Time that a busy machine may take in addition.
const SLACK: Duration = Duration::from_millis(1_500);
/// Size of each part of the body.
const PART_BYTES: usize = 1_000;

struct Case {
    name: &'static str,
    /// Number of parts that the server sends, and the pause before each.
    parts: usize,
    pause: Duration,
    /// Number of parts that the head of the response announces.
    announced: usize,
    /// Time after which the call has failed; none if it succeeds.
    fails_after: Option<Duration>,
}

/// Starts a server that sends the parts of one response and then nothing.
fn serve(case: &Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (parts, pause, announced) = (case.parts, case.pause, case.announced);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        if announced > 0 {
            let length = announced * PART_BYTES;
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            );
        }
        for _ in 0..parts {
            thread::sleep(pause);
            if stream.write_all(&[b'a'; PART_BYTES]).is_err() {
                return;
            }
        }
        // Ends when the client closes the connection.
        let _ = stream.read(&mut [0; 1]);
    });
    address
}

/// Guards against a host that gives up a large response while it arrives, asks for it again and never
/// gets it: it then acts on an old configuration for as long as its link is slow.
#[test]
fn response_is_awaited_while_it_arrives() {
    let cases = [
        Case {
            name: "steady",
            parts: 12,
            pause: Duration::from_millis(100),
            announced: 12,
            fails_after: None,
        },
        Case {
            name: "no response",
            parts: 0,
            pause: Duration::ZERO,
            announced: 0,
            fails_after: Some(IDLE),
        },
        Case {
            name: "stops in the middle",
            parts: 3,
            pause: Duration::from_millis(100),
            announced: 12,
            fails_after: Some(IDLE * 3),
        },
        Case {
            name: "too slow",
            parts: 1_000,
            pause: Duration::from_millis(100),
            announced: 1_000,
            fails_after: Some(TOTAL),
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for case in cases {
        let mut client = Client::new(serve(&case), 10_000_000);
        let call = Call {
            method: "GET",
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let started = Instant::now();
        let outcome = runtime.block_on(client.fetch(&call, IDLE, TOTAL));
        let elapsed = started.elapsed();
        let name = case.name;
        match (case.fails_after, outcome) {
            (None, Ok(reply)) => assert_eq!(reply.body.len(), case.announced * PART_BYTES),
            (Some(limit), Err(Error::Timeout(_))) => {
                assert!(elapsed < limit + SLACK, "{name}: {elapsed:?}")
            }
            (_, outcome) => panic!("{name}: {outcome:?}"),
        }
    }
}
