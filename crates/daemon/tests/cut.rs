//! Tests of daemons whose target's responses stop in the middle.

mod harness;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use harness::{
    Builder, Call, row,
    scripted::{Answer, Server},
};
use ntex::time::{Millis, sleep};

const KEY: &str = "k1";

struct Case {
    name: &'static str,
    /// Bytes that the target sends before it closes the connection.
    bytes: &'static str,
    /// Whether the head is whole, so that the daemon may pass it on.
    has_head: bool,
}

const fn head(name: &'static str, bytes: &'static str) -> Case {
    Case {
        name,
        bytes,
        has_head: false,
    }
}

const fn body(name: &'static str, bytes: &'static str) -> Case {
    Case {
        name,
        bytes,
        has_head: true,
    }
}

const CASES: [Case; 17] = [
    head("status line", "HTTP/1.1 20"),
    head("behind the status line", "HTTP/1.1 200 OK\r\n"),
    head("name of a header", "HTTP/1.1 200 OK\r\nContent-Le"),
    head("value of a header", "HTTP/1.1 200 OK\r\nETag: \"1"),
    head("length", "HTTP/1.1 200 OK\r\nContent-Length: 1"),
    head("last header", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"),
    head("empty line", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"),
    head("interim response", "HTTP/1.1 102 Processing\r\n"),
    head(
        "behind an interim response",
        "HTTP/1.1 102 Processing\r\n\r\n",
    ),
    head(
        "head behind an interim response",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n",
    ),
    body(
        "body with a length",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nit r",
    ),
    body(
        "before the first chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ),
    body(
        "size of a chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n1",
    ),
    body(
        "line of a chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n6\r",
    ),
    body(
        "chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n6\r\nn o",
    ),
    body(
        "behind a chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n",
    ),
    body(
        "last chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n0\r\n",
    ),
];

/// Guards against a response that looks whole although the target stopped in the middle of it.
#[ntex::test]
async fn response_that_stops_in_the_middle_is_never_passed_on_as_whole() {
    let target = Server::start();
    let builder = Builder::new().daemons(2);
    let system = builder.remote("plans", row(true), target.address()).start();
    let ready = Call::get("plans", "/ready", KEY);
    let mut number = 0;
    for case in CASES {
        for method in ["GET", "POST"] {
            for daemon in 0..2 {
                system.call_until_served(daemon, &ready).await;
                target.set(move |_| Answer {
                    bytes: case.bytes.as_bytes().to_vec(),
                    runs: true,
                    closes: true,
                    ..Answer::default()
                });
                let name = format!("{method} through daemon {daemon}, cut in the {}", case.name);
                let address = system.address(daemon);
                number += 1;
                let reply = thread::spawn(move || send(address, method, number));
                while !reply.is_finished() {
                    sleep(Millis(5)).await;
                }
                let reply = reply.join().unwrap();
                let status = reply.split(' ').nth(1).unwrap_or_default();
                let is_whole = is_whole(&reply);
                let is_own = is_whole && ["502", "503", "504"].contains(&status);
                // The connection may close before the head is sent.
                let is_cut = case.has_head && !is_whole;
                assert!(is_own || is_cut, "{name}: {reply:?}");
                target.set(|_| Answer::proper());
            }
        }
    }
}

/// Sends a request and reads until its connection closes.
fn send(address: SocketAddr, method: &str, number: u32) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).unwrap();
    let request = format!(
        "{method} /s/plans/work HTTP/1.1\r\nHost: test\r\nRagwortrill-Key: {KEY}\r\n\
         Idempotency-Key: {number}\r\nRagwortrill-Deadline-Ms: 1500\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = Vec::new();
    let mut bytes = [0; 4_096];
    // A reset ends the reply like an end of the stream does.
    while let Ok(length) = stream.read(&mut bytes) {
        reply.extend_from_slice(&bytes[..length]);
        if length == 0 {
            break;
        }
    }
    String::from_utf8_lossy(&reply).into_owned()
}

/// Returns whether a reply has all of its bytes as announced.
fn is_whole(reply: &str) -> bool {
    let Some((head, body)) = reply.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len() == length.parse::<usize>().unwrap(),
        None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
        None => true,
    }
}
