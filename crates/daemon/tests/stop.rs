//! Tests of a graceful shutdown with callers that keep their connections or wait for a target.

mod harness;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    slice, thread,
    time::{Duration, Instant},
};

use harness::{Builder, Call, System, name, row};
use ntex::{
    http::Method,
    time::{Millis, sleep},
};
use ragwortrill_core::time::Span;
use ragwortrill_standin::target::Settings;
use test_case::test_case;

const KEY: &str = "k1";

/// Path of the report on a request that was never sent.
const PROGRESS_PATH: &str = "/requests/orders/0000000000000000-0000000000000000";

/// Starts a system with one target.
async fn system() -> System {
    let builder = Builder::new().service("orders", row(true), 1);
    let system = builder.target(Settings::default()).start();
    let call = Call::get("orders", "/ready", KEY);
    system.call_until_served(0, &call).await;
    system
}

/// Guards against a graceful shutdown that does not end, or cuts a request off, because a caller
/// sends one request after another on the same connection.
#[ntex::test]
async fn graceful_shutdown_closes_a_busy_connection_with_a_reply() {
    let mut system = system().await;
    let target = &system.targets[&name("orders-0")];
    target.change(|settings| settings.service_time = Span::from_millis(200));
    let address = system.address(0);
    let caller = thread::spawn(move || {
        let mut stream = connect(address);
        let call = Call::get("orders", "/busy", KEY);
        loop {
            send(&mut stream, slice::from_ref(&call));
            let reply = receive(&mut stream).expect("every request gets a reply");
            if reply.closes {
                return receive(&mut stream);
            }
        }
    });
    let daemon = system.daemons[0].take().expect("the daemon runs");
    daemon.stop();
    let ended = thread::spawn(move || {
        let has_ended = daemon.wait(Duration::from_secs(12));
        // The process ends this long after the shutdown.
        thread::sleep(Duration::from_millis(100));
        daemon.close();
        has_ended
    });
    while !ended.is_finished() {
        sleep(Millis(20)).await;
    }
    assert!(ended.join().expect("the daemon stops"));
    let after = caller.join().expect("every request gets a reply");
    assert_eq!(after, None, "the connection ends behind the reply");
}

/// Guards against a reply of the daemon's own that keeps its connection during a graceful shutdown.
#[ntex::test]
async fn graceful_shutdown_closes_a_connection_with_a_reply_of_the_daemon() {
    let cases = [
        ("problem", Call::to(Method::GET, "/no-service"), 404),
        ("unknown service", Call::get("none", "/", KEY), 404),
        ("progress", Call::to(Method::GET, PROGRESS_PATH), 404),
        (
            "wrong path of a request",
            Call::to(Method::GET, "/requests/orders/none"),
            404,
        ),
    ];
    let system = system().await;
    for (case, call, status) in &cases {
        assert_eq!(
            exchange(&system, call).await,
            (*status, false),
            "{case}, before"
        );
    }
    system.daemons[0].as_ref().expect("the daemon runs").stop();
    sleep(Millis(200)).await;
    for (case, call, status) in &cases {
        assert_eq!(
            exchange(&system, call).await,
            (*status, true),
            "{case}, after"
        );
    }
}

/// Guards against a pipelined request that runs although the reply before it closed the connection,
/// so that its caller sends it again elsewhere.
#[ntex::test]
async fn pipelined_request_behind_the_last_reply_does_not_run() {
    let system = system().await;
    let target = &system.targets[&name("orders-0")];
    target.change(|settings| settings.service_time = Span::from_millis(500));
    let mut stream = connect(system.address(0));
    let paths = ["/first", "/second", "/third"];
    let calls = paths.map(|path| Call::get("orders", path, KEY));
    let received = target.counts().received;
    send(&mut stream, &calls);
    while target.counts().received == received {
        sleep(Millis(10)).await;
    }
    system.daemons[0].as_ref().expect("the daemon runs").stop();
    let replies = thread::spawn(move || [(); 4].map(|()| receive(&mut stream)));
    while !replies.is_finished() {
        sleep(Millis(20)).await;
    }
    let replies = replies.join().expect("the replies can be read");
    let reply = |status| {
        Some(Head {
            status,
            closes: true,
        })
    };
    assert_eq!(replies, [reply(200), reply(503), reply(503), None]);
    assert_eq!(target.counts().received, received + 1);
}

struct Late {
    name: &'static str,
    method: Method,
    /// When the request is sent, in milliseconds since the start of the shutdown.
    sent_ms: i32,
    deadline_ms: u32,
    limit: Span,
    /// Whether the target takes a second request while one runs.
    is_warm: bool,
    /// Time that the target works on the request.
    work: Span,
    status: u16,
    /// Whether the request is sent to the target.
    is_sent: bool,
}

/// Guards against a graceful shutdown that cuts a request without a reply at its limit.
#[test_case(Late {
    name: "before the shutdown, beyond its limit",
    method: Method::POST,
    sent_ms: -300,
    deadline_ms: 20_000,
    limit: Span::from_secs(4),
    is_warm: true,
    work: Span::from_secs(20),
    status: 504,
    is_sent: true,
}; "order before the shutdown")]
#[test_case(Late {
    name: "early in the shutdown, beyond its limit",
    method: Method::POST,
    sent_ms: 1_000,
    deadline_ms: 20_000,
    limit: Span::from_secs(4),
    is_warm: true,
    work: Span::from_secs(20),
    status: 504,
    is_sent: true,
}; "order early in the shutdown")]
#[test_case(Late {
    name: "early in the shutdown, waits until another daemon holds the target",
    method: Method::POST,
    sent_ms: 1_000,
    deadline_ms: 20_000,
    limit: Span::from_secs(8),
    is_warm: false,
    work: Span::from_secs(20),
    status: 504,
    is_sent: true,
}; "order behind another one early in the shutdown")]
#[test_case(Late {
    name: "late in the shutdown, beyond its limit",
    method: Method::POST,
    sent_ms: 2_500,
    deadline_ms: 20_000,
    limit: Span::from_secs(4),
    is_warm: true,
    work: Span::from_secs(20),
    status: 503,
    is_sent: false,
}; "order late in the shutdown")]
#[test_case(Late {
    name: "late in the shutdown, beyond its limit, to be repeated",
    method: Method::GET,
    sent_ms: 2_500,
    deadline_ms: 20_000,
    limit: Span::from_secs(4),
    is_warm: true,
    work: Span::from_secs(20),
    status: 503,
    is_sent: false,
}; "read late in the shutdown")]
#[test_case(Late {
    name: "early in the shutdown, within its limit",
    method: Method::POST,
    sent_ms: 1_000,
    deadline_ms: 1_500,
    limit: Span::from_secs(4),
    is_warm: false,
    work: Span::from_millis(300),
    status: 200,
    is_sent: true,
}; "short order early in the shutdown")]
fn graceful_shutdown_cuts_no_request_at_its_limit(case: Late) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(check_late(case));
}

/// Guards against a request that is taken when the last one has ended, and cut when the process ends.
#[ntex::test]
async fn request_at_the_end_of_a_graceful_shutdown_is_refused() {
    let mut system = system().await;
    let target = &system.targets[&name("orders-0")];
    let received = target.counts().received;
    let address = system.address(0);
    let daemon = system.daemons[0].take().expect("the daemon runs");
    daemon.stop();
    let ended = thread::spawn(move || (daemon.wait(Duration::from_secs(12)), daemon));
    while !ended.is_finished() {
        sleep(Millis(20)).await;
    }
    let (has_ended, daemon) = ended.join().expect("the daemon stops");
    assert!(has_ended);
    let reply = thread::spawn(move || {
        let mut stream = connect(address);
        send(&mut stream, &[Call::post("orders", "/late", KEY, "")]);
        receive(&mut stream)
    });
    while !reply.is_finished() {
        sleep(Millis(5)).await;
    }
    let reply = reply.join().expect("the reply can be read");
    let refused = Head {
        status: 503,
        closes: true,
    };
    assert_eq!(reply, Some(refused));
    assert_eq!(target.counts().received, received);
    daemon.close();
}

/// Guards against a reply at the end of a graceful shutdown that says of a request which no target
/// got that it may have run.
#[test_case(Method::POST; "order")]
#[test_case(Method::GET; "read")]
fn request_without_a_target_is_refused_at_the_end_of_a_graceful_shutdown(method: Method) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(check_unsent(method));
}

async fn check_unsent(method: Method) {
    const LIMIT: Duration = Duration::from_secs(6);
    let builder = Builder::new().daemons(1).service("orders", row(true), 1);
    let builder = builder.settings(|settings| settings.drain_limit = Span::from_secs(6));
    let mut system = builder.start();
    let running = run_order(&system, Span::from_secs(20)).await;
    let target = &system.targets[&name("orders-0")];
    let received = target.counts().received;
    let address = system.address(0);
    let daemon = system.daemons[0].take().expect("the daemon runs");
    daemon.stop();
    let stopping = thread::spawn(move || {
        daemon.wait(LIMIT);
        // The process ends this long after the shutdown.
        thread::sleep(Duration::from_millis(100));
        daemon.close();
    });
    let caller = thread::spawn(move || {
        // The daemon has given its target up by then, and no other one takes it over.
        thread::sleep(Duration::from_millis(2_500));
        request_late(address, method, 20_000)
    });
    while !caller.is_finished() || !stopping.is_finished() || !running.is_finished() {
        sleep(Millis(20)).await;
    }
    stopping.join().expect("the daemon stops");
    assert_eq!(caller.join().expect("the reply can be read"), Some(503));
    assert_eq!(running.join().expect("the reply can be read"), Some(504));
    assert_eq!(target.counts().received, received);
}

/// Serves requests until the target, which starts cold, takes all that its slots allow.
async fn warm_up(system: &System) {
    let ready = Call::get("orders", "/ready", KEY);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_500) {
        system.call_until_served(0, &ready).await;
    }
}

/// Sends an order that the target works on for a time, and waits until the target has it. The
/// returned thread ends with the status of the reply.
async fn run_order(system: &System, work: Span) -> thread::JoinHandle<Option<u16>> {
    let ready = Call::get("orders", "/ready", KEY);
    system.call_until_served(0, &ready).await;
    let target = &system.targets[&name("orders-0")];
    target.change(|settings| settings.service_time = work);
    let address = system.address(0);
    let received = target.counts().received;
    let running = thread::spawn(move || {
        let mut stream = connect(address);
        let call = Call::post("orders", "/running", KEY, "");
        send(
            &mut stream,
            &[call.header("ragwortrill-deadline-ms", "20000")],
        );
        receive(&mut stream).map(|head| head.status)
    });
    while target.counts().received == received {
        sleep(Millis(10)).await;
    }
    running
}

/// Sends a request and returns the status of the reply.
fn request_late(address: SocketAddr, method: Method, deadline_ms: u32) -> Option<u16> {
    let mut stream = connect(address);
    let call = Call::direct(method, "/s/orders/late");
    let call = call.header("ragwortrill-key", KEY);
    let deadline = deadline_ms.to_string();
    send(
        &mut stream,
        &[call.header("ragwortrill-deadline-ms", &deadline)],
    );
    receive(&mut stream).map(|head| head.status)
}

async fn check_late(case: Late) {
    let builder = Builder::new().service("orders", row(true), 1);
    let mut system = builder.daemons(0).start();
    for number in 0..3 {
        system.add_daemon_with(number, |settings| settings.drain_limit = case.limit);
    }
    if case.is_warm {
        warm_up(&system).await;
    }
    // The shutdown goes on while this request runs.
    let running = run_order(&system, case.work).await;
    let target = &system.targets[&name("orders-0")];
    let address = system.address(0);
    let received = target.counts().received;
    let daemon = system.daemons[0].take().expect("the daemon runs");
    let before = Duration::from_millis(u64::from(case.sent_ms.min(0).unsigned_abs()));
    let after = Duration::from_millis(u64::from(case.sent_ms.max(0).unsigned_abs()));
    let caller = thread::spawn(move || {
        thread::sleep(after);
        request_late(address, case.method, case.deadline_ms)
    });
    let stopping = thread::spawn(move || {
        thread::sleep(before);
        daemon.stop();
        daemon.wait(case.limit.as_duration());
        // The process ends this long after the shutdown.
        thread::sleep(Duration::from_millis(100));
        daemon.close();
    });
    while !caller.is_finished() || !stopping.is_finished() || !running.is_finished() {
        sleep(Millis(20)).await;
    }
    stopping.join().expect("the daemon stops");
    let status = caller.join().expect("the reply can be read");
    assert_eq!(status, Some(case.status), "{}", case.name);
    let status = running.join().expect("the reply can be read");
    assert!(
        status.is_some(),
        "{}: the running request is cut",
        case.name
    );
    let is_sent = target.counts().received > received;
    assert_eq!(is_sent, case.is_sent, "{}", case.name);
}

/// Sends a request on a connection of its own. Returns the reply's status, and whether it closes the
/// connection.
async fn exchange(system: &System, call: &Call) -> (u16, bool) {
    let mut stream = connect(system.address(0));
    send(&mut stream, slice::from_ref(call));
    let reply = thread::spawn(move || receive(&mut stream));
    while !reply.is_finished() {
        sleep(Millis(5)).await;
    }
    let reply = reply.join().expect("the reply can be read");
    let reply = reply.expect("the request gets a reply");
    (reply.status, reply.closes)
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the daemon accepts connections");
    let limit = Some(Duration::from_secs(10));
    stream.set_read_timeout(limit).expect("a limit can be set");
    BufReader::new(stream)
}

/// Sends requests without waiting for their replies.
fn send(stream: &mut BufReader<TcpStream>, calls: &[Call]) {
    let text: String = calls.iter().map(Call::head_text).collect();
    let sent = stream.get_mut().write_all(text.as_bytes());
    sent.expect("the daemon reads the requests");
}

/// What a test reads of a reply.
#[derive(Debug, Eq, PartialEq)]
struct Head {
    status: u16,
    closes: bool,
}

/// Reads a reply with its body. Returns none at the end of the connection.
fn receive(stream: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut line = String::new();
    if stream.read_line(&mut line).expect("a reply can be read") == 0 {
        return None;
    }
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut head = Head {
        status: status.expect("a reply has a status"),
        closes: false,
    };
    let mut length = 0;
    loop {
        line.clear();
        let read = stream.read_line(&mut line).expect("the head can be read");
        assert!(read > 0, "the connection ends within a head");
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        head.closes |= line == "connection: close";
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("the length is a number");
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("the body is whole");
    Some(head)
}
