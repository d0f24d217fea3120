//! Measures the path of a request: `cargo run --release --example bench [-- --seconds N] [--json]`.
//!
//! One process has the stand-ins, two daemons and the callers, so all figures share its processors.
//! Compare the paths with each other, not with other runs.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use harness::{Builder, Call, System, client, row, send_with};
use hdrhistogram::Histogram;
use ntex::http::Method;
use ragwortrill_standin::target;

/// Callers that send one request after the other, for throughput.
const CALLERS: usize = 32;

/// Latencies and throughput of a path.
struct Path {
    name: &'static str,
    p50_us: u64,
    p99_us: u64,
    requests_per_s: f64,
}

#[ntex::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let json = arguments.iter().any(|argument| argument == "--json");
    let seconds = arguments.iter().skip_while(|a| *a != "--seconds").nth(1);
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(3);
    let span = Duration::from_secs(seconds);
    let settings = target::Settings {
        checks_epoch: false,
        slots: 64,
        connections: 1_000,
        ..Default::default()
    };
    let mut row = row(true);
    (row.slots, row.connections, row.queue) = (64, 1_000, 1_000);
    row.slow_start = ragwortrill_core::time::Span::from_millis(1);
    let system = Builder::new()
        .daemons(2)
        .workers(4)
        .service("lookup", row, 1)
        .target(settings)
        .start();
    let call = Call::get("lookup", "/free", "a");
    system.call_until_served(0, &call).await;
    system.call_until_served(1, &call).await;
    let holder = holder(&system).await;
    let direct = Call::direct(Method::GET, "/free");
    let address = system.targets.values().next().map(target::Server::address);
    let address = address.expect("there is a target");
    let paths = vec![
        measure("direct", address, &direct, span),
        measure("local", system.address(holder), &call, span),
        measure("one hop", system.address(1 - holder), &call, span),
    ];
    let memory = memory(&system, holder).await;
    show(&paths, &memory, json);
}

/// Finds the daemon that holds the only target: the faster one.
async fn holder(system: &System) -> usize {
    let call = Call::get("lookup", "/free", "a");
    let caller = client().await;
    let mut best = (Duration::MAX, 0);
    for daemon in 0..2 {
        let mut times = Vec::new();
        for _ in 0..200 {
            let start = Instant::now();
            send_with(&caller, system.address(daemon), &call).await;
            times.push(start.elapsed());
        }
        times.sort_unstable();
        best = best.min((times[100], daemon));
    }
    best.1
}

fn measure(name: &'static str, address: SocketAddr, call: &Call, span: Duration) -> Path {
    let alone = run(address, call, span, 1);
    let loaded = run(address, call, span, CALLERS);
    Path {
        name,
        p50_us: alone.value_at_quantile(0.5),
        p99_us: alone.value_at_quantile(0.99),
        requests_per_s: loaded.len() as f64 / span.as_secs_f64(),
    }
}

/// Sends requests from several callers on four threads and returns their times in microseconds.
fn run(address: SocketAddr, call: &Call, span: Duration, callers: usize) -> Histogram<u64> {
    let threads = callers.min(4);
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let call = call.clone();
            thread::spawn(move || loops(address, call, span, callers / threads))
        })
        .collect();
    let mut all = Histogram::new(3).expect("three digits are valid");
    for worker in workers {
        let part = worker.join().expect("a caller's thread ends");
        all.add(part).expect("the histograms are alike");
    }
    all
}

fn loops(address: SocketAddr, call: Call, span: Duration, callers: usize) -> Histogram<u64> {
    let system = ntex::rt::System::new("callers", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let loops: Vec<_> = (0..callers)
            .map(|_| ntex::rt::spawn(one_caller(address, call.clone(), span)))
            .collect();
        let mut all = Histogram::new(3).expect("three digits are valid");
        for caller in loops {
            let part = caller.await.expect("a caller ends");
            all.add(part).expect("the histograms are alike");
        }
        all
    })
}

async fn one_caller(address: SocketAddr, call: Call, span: Duration) -> Histogram<u64> {
    let caller = client().await;
    let mut times = Histogram::new(3).expect("three digits are valid");
    let start = Instant::now();
    while start.elapsed() < span {
        let sent = Instant::now();
        let reply = send_with(&caller, address, &call).await;
        if reply.status == 200 {
            let _ = times.record(sent.elapsed().as_micros() as u64);
        }
    }
    times
}

/// Returns the process's memory in bytes with more and more idle callers' connections.
async fn memory(system: &System, daemon: usize) -> Vec<(usize, u64)> {
    let call = Call::get("lookup", "/free", "a");
    let mut callers = Vec::new();
    let mut sizes = Vec::new();
    for count in [1, 100, 1_000] {
        while callers.len() < count {
            let caller = client().await;
            send_with(&caller, system.address(daemon), &call).await;
            callers.push(caller);
        }
        let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages: Option<u64> = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
        sizes.push((count, pages.unwrap_or(0) * 4096));
    }
    sizes
}

fn show(paths: &[Path], memory: &[(usize, u64)], json: bool) {
    let direct = &paths[0];
    if json {
        let paths = paths.iter().map(|path| {
            serde_json::json!({
                "path": path.name, "p50_us": path.p50_us, "p99_us": path.p99_us,
                "requests_per_s": path.requests_per_s,
            })
        });
        let paths: Vec<_> = paths.collect();
        println!(
            "{}",
            serde_json::json!({"paths": paths, "memory_bytes": memory})
        );
        return;
    }
    for path in paths {
        println!(
            "{}: p50 {} us (+{}), p99 {} us (+{}), {:.0} requests/s with {CALLERS} callers",
            path.name,
            path.p50_us,
            path.p50_us.saturating_sub(direct.p50_us),
            path.p99_us,
            path.p99_us.saturating_sub(direct.p99_us),
            path.requests_per_s
        );
    }
    for (connections, bytes) in memory {
        println!(
            "{connections} connections: {:.1} MB in the process",
            *bytes as f64 / 1e6
        );
    }
}
