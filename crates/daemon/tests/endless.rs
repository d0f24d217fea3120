//! Tests of daemons whose target sends bytes without end.

mod harness;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use harness::{
    Builder, Call, System,
    flood::{Flood, Server},
    row,
};
use test_case::test_case;

const KEY: &str = "k1";
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// Time after a deadline in which the response must have ended, and in which a request must be
/// served whose target works properly.
const MARGIN: Duration = Duration::from_millis(1_000);
/// Time after its deadline for which the response of an order is awaited, so that its caller gets it
/// when it repeats the order.
const LATE_LIMIT: Duration = Duration::from_secs(30);
/// The same for a body whose head arrived in time.
const LATE_BODY_LIMIT: Duration = Duration::from_secs(5);
/// Memory by which a case may increase that of the whole process, callers and targets included.
const MAX_GROWTH_BYTES: usize = 48 * 1024 * 1024;
/// Unit of the memory that the kernel reports.
const PAGE_BYTES: usize = 4 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EXTENSION: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=";
const TRAILER: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";

/// How the response of a request ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The daemon responds by itself.
    Problem,
    /// The response of the target breaks off and is visibly incomplete.
    Cut,
}

/// Start of a response that is read but not kept.
#[derive(Debug)]
struct Response {
    head: String,
    /// Whether the response ended with its connection and before its announced end.
    is_cut: bool,
    elapsed: Duration,
}

const fn fast(start: &'static str, part: &'static str) -> Flood {
    let pause = Duration::ZERO;
    Flood { start, part, pause }
}

const fn slow(start: &'static str, part: &'static str) -> Flood {
    let pause = Duration::from_millis(20);
    Flood { start, part, pause }
}

/// Guards against a daemon that waits beyond the deadline for the end of a head, or that keeps all
/// of its bytes in memory.
#[test_case(fast("", "x"); "no http")]
#[test_case(fast("HTTP/1.1 200 ", "x"); "reason phrase")]
#[test_case(fast("HTTP/1.1 200 OK\r\nX-Filler: ", "x"); "header line")]
#[test_case(fast("HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n"); "header lines")]
#[test_case(fast("", "HTTP/1.1 102 Processing\r\n\r\n"); "interim responses")]
#[test_case(slow("HTTP/1.1 200 OK\r\nX-Filler: ", "x"); "slow header line")]
#[test_case(slow("HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n"); "slow header lines")]
fn head_without_end_is_replaced(flood: Flood) {
    check(flood, End::Problem);
}

/// Guards against a response that is passed on for ever, and that keeps the connection of its
/// caller and a slot of its target.
#[test_case(fast(CHUNKED, "5\r\nbytes\r\n"); "chunks")]
#[test_case(fast(CHUNKED, "0"); "chunk size")]
#[test_case(fast(TRAILER, "X-Filler: 1\r\n"); "trailers")]
#[test_case(fast(LENGTH, "x"); "body with a length")]
#[test_case(fast("HTTP/1.1 200 OK\r\n\r\n", "x"); "body without a length")]
#[test_case(slow(CHUNKED, "5\r\nbytes\r\n"); "slow chunks")]
#[test_case(slow(EXTENSION, "x"); "slow chunk extension")]
#[test_case(slow("HTTP/1.1 200 OK\r\n\r\n", "x"); "slow body without a length")]
fn body_without_end_is_cut_at_the_deadline(flood: Flood) {
    check(flood, End::Cut);
}

/// The tests measure the memory of the process, so they run one after the other.
fn serial() -> MutexGuard<'static, ()> {
    static SERIAL: Mutex<()> = Mutex::new(());
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a read and an order through a daemon that holds the target and through one that forwards.
fn check(flood: Flood, end: End) {
    // The memory is only measured while bytes arrive without a pause.
    let _serial = flood.pause.is_zero().then(serial);
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(async move {
        let target = Server::start();
        let mut limits = row(true);
        limits.slots = 1;
        let builder = Builder::new().daemons(2);
        let system = builder.remote("plans", limits, target.address()).start();
        for method in ["GET", "POST"] {
            for daemon in 0..2 {
                check_request(&system, &target, (flood, end), method, daemon).await;
            }
        }
    });
}

async fn check_request(
    system: &System,
    target: &Server,
    (flood, end): (Flood, End),
    method: &str,
    daemon: usize,
) {
    let name = format!("{method} through daemon {daemon}");
    let ready = Call::get("plans", "/ready", KEY);
    system.call_until_served(daemon, &ready).await;
    target.set(Some(flood));
    let before = memory_bytes();
    let address = system.address(daemon);
    let (text, to) = (method.to_owned(), name.clone());
    let request = thread::spawn(move || send(address, &text, &to));
    let mut peak = before;
    while !request.is_finished() {
        peak = peak.max(memory_bytes());
        ntex::time::sleep(ntex::time::Millis(5)).await;
    }
    let response = request.join().unwrap();
    let status = response.head.split(' ').nth(1).unwrap_or_default();
    let statuses: &[&str] = match end {
        End::Problem => &["502", "504"],
        // The connection may close before the head is sent.
        End::Cut => &["200", "502", "504", ""],
    };
    assert!(statuses.contains(&status), "{name}: {response:?}");
    assert_eq!(
        response.is_cut,
        matches!(status, "200" | ""),
        "{name}: {response:?}"
    );
    let limit = DEADLINE + MARGIN;
    assert!(response.elapsed < limit, "{name}: {response:?}");
    let growth = peak - before;
    let is_measured = flood.pause.is_zero();
    assert!(
        !is_measured || growth < MAX_GROWTH_BYTES,
        "{name}: {growth} bytes"
    );
    let line = response.head.lines().find_map(|line| {
        let (header, value) = line.split_once(": ")?;
        header
            .eq_ignore_ascii_case("ragwortrill-request")
            .then_some(value)
    });
    if let ("POST", Some(id)) = (method, line) {
        assert_eq!(target.runs(id), 1, "{name}");
    }
    let limit = match (method, end) {
        ("POST", End::Problem) => LATE_LIMIT + MARGIN,
        ("POST", End::Cut) => LATE_BODY_LIMIT + MARGIN,
        _ => MARGIN,
    };
    let began = Instant::now();
    while target.open() > 0 {
        assert!(began.elapsed() < limit, "{name}: the connection stays open");
        ntex::time::sleep(ntex::time::Millis(5)).await;
    }
    target.set(None);
    // The only slot of the target is free again.
    let began = Instant::now();
    system.call_until_served(daemon, &ready).await;
    let elapsed = began.elapsed();
    assert!(elapsed < 2 * MARGIN, "{name}: not served for {elapsed:?}");
}

/// Returns the resident memory of this process.
fn memory_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Sends a request and reads its response until it ends. Panics if it does not end long after its
/// deadline.
fn send(address: SocketAddr, method: &str, name: &str) -> Response {
    let mut stream = TcpStream::connect(address).unwrap();
    let timeout = Some(DEADLINE + 3 * MARGIN);
    stream.set_read_timeout(timeout).unwrap();
    let deadline = DEADLINE.as_millis();
    let request = format!(
        "{method} /s/plans/work HTTP/1.1\r\nHost: test\r\nRagwortrill-Key: {KEY}\r\n\
         Idempotency-Key: {name}\r\nRagwortrill-Deadline-Ms: {deadline}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let began = Instant::now();
    stream.write_all(request.as_bytes()).unwrap();
    let mut bytes = vec![0; 64 * 1024];
    let mut head = Vec::new();
    let mut tail = Vec::new();
    let is_closed = loop {
        let elapsed = began.elapsed();
        assert!(
            elapsed < DEADLINE + 3 * MARGIN,
            "{name}: the response does not end"
        );
        let length = match stream.read(&mut bytes) {
            Ok(0) => break true,
            Ok(length) => length,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("{name}: the response does not end")
            }
            Err(_) => break true,
        };
        if head.len() < 4 * 1024 {
            head.extend_from_slice(&bytes[..length]);
        }
        tail.extend_from_slice(&bytes[..length]);
        tail.drain(..tail.len().saturating_sub(16));
        if is_whole(&head, &tail) {
            break false;
        }
    };
    Response {
        head: String::from_utf8_lossy(&head[..head.len().min(600)]).into_owned(),
        is_cut: is_closed && !is_whole(&head, &tail),
        elapsed: began.elapsed(),
    }
}

/// Returns whether a response has arrived as announced: all bytes of a short body, or the last
/// chunk.
fn is_whole(head: &[u8], tail: &[u8]) -> bool {
    let text = String::from_utf8_lossy(head).to_ascii_lowercase();
    let Some((lines, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = lines
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length.map(|length| length.parse::<usize>().unwrap()) {
        Some(length) => body.len() >= length,
        None => lines.contains("chunked") && tail.ends_with(b"\r\n0\r\n\r\n"),
    }
}
