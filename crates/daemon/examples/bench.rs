//! Measures latency and throughput of requests on three paths: directly to the target, through the
//! daemon that holds the target, and through another daemon.
//!
//! Usage: `cargo run --release --example bench [-- --seconds N] [--json]`.
//!
//! The stand-ins, two daemons and the callers run in one process and share its processors. Compare
//! the paths of a run with each other, not with those of other runs.

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

/// Callers in the measurement of throughput. Each sends its requests sequentially.
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
    print(&paths, &memory, json);
}

/// Returns the daemon that holds the only target. It is the one with the lower median latency,
/// since the other forwards each request.
async fn holder(system: &System) -> usize {
    let call = Call::get("lookup", "/free", "a");
    let caller = client().await;
    let mut fastest = (Duration::MAX, 0);
    for daemon in 0..2 {
        let mut times = Vec::new();
        for _ in 0..200 {
            let start = Instant::now();
            send_with(&caller, system.address(daemon), &call).await;
            times.push(start.elapsed());
        }
        times.sort_unstable();
        fastest = fastest.min((times[100], daemon));
    }
    fastest.1
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

/// Sends requests from several callers on up to four threads. Returns the latencies in
/// microseconds.
fn run(address: SocketAddr, call: &Call, span: Duration, callers: usize) -> Histogram<u64> {
    let threads = callers.min(4);
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let call = call.clone();
            thread::spawn(move || run_thread(address, call, span, callers / threads))
        })
        .collect();
    let mut all = Histogram::new(3).expect("three digits are valid");
    for worker in workers {
        let latencies = worker.join().expect("a caller's thread ends");
        all.add(latencies)
            .expect("the histograms have the same precision");
    }
    all
}

fn run_thread(address: SocketAddr, call: Call, span: Duration, callers: usize) -> Histogram<u64> {
    let system = ntex::rt::System::new("callers", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let callers: Vec<_> = (0..callers)
            .map(|_| ntex::rt::spawn(run_caller(address, call.clone(), span)))
            .collect();
        let mut all = Histogram::new(3).expect("three digits are valid");
        for caller in callers {
            let latencies = caller.await.expect("a caller ends");
            all.add(latencies)
                .expect("the histograms have the same precision");
        }
        all
    })
}

async fn run_caller(address: SocketAddr, call: Call, span: Duration) -> Histogram<u64> {
    let caller = client().await;
    let mut latencies = Histogram::new(3).expect("three digits are valid");
    let start = Instant::now();
    while start.elapsed() < span {
        let sent = Instant::now();
        let reply = send_with(&caller, address, &call).await;
        if reply.status == 200 {
            let _ = latencies.record(sent.elapsed().as_micros() as u64);
        }
    }
    latencies
}

/// Returns the resident memory of the process, in bytes, with 1, 100 and 1,000 idle connections of
/// callers.
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

fn print(paths: &[Path], memory: &[(usize, u64)], json: bool) {
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
