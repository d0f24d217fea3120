//! Tests the clients against servers that send bytes without end.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use ntex::rt;
use ragwortrill_core::{
    number::{Epoch, Offset},
    record::Id,
    request,
    time::Span,
};
use ragwortrill_platform::{hosts, log, target};

/// Timeout of the calls.
const TIMEOUT: Span = Span::from_millis(1_000);
/// Time after its timeout in which a call must have ended and its connection must be closed.
const MARGIN: Duration = Duration::from_millis(1_500);
/// Memory by which a case may increase that of the process, server included.
const MAX_GROWTH_BYTES: usize = 48 << 20;
/// Unit of the memory that the kernel reports.
const PAGE_BYTES: usize = 4_096;
/// Interval between two readings of the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// A response that begins with some bytes and goes on with a part that is repeated.
struct Flood {
    name: &'static str,
    start: &'static str,
    part: &'static str,
}

const FLOODS: [Flood; 9] = [
    Flood {
        name: "bytes that are no response",
        start: "",
        part: "xxxxxxxxxxxxxxxx",
    },
    Flood {
        name: "status line",
        start: "HTTP/1.1 200 ",
        part: "OKOKOKOKOKOKOKOK",
    },
    Flood {
        name: "header line",
        start: "HTTP/1.1 200 OK\r\nPadding: ",
        part: "xxxxxxxxxxxxxxxx",
    },
    Flood {
        name: "header lines",
        start: "HTTP/1.1 200 OK\r\n",
        part: "Padding: xxxxx\r\n",
    },
    Flood {
        name: "interim responses",
        start: "",
        part: "HTTP/1.1 100 Continue\r\n\r\n",
    },
    Flood {
        name: "body of a length",
        start: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
        part: "xxxxxxxxxxxxxxxx",
    },
    Flood {
        name: "chunks",
        start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        part: "10\r\nxxxxxxxxxxxxxxxx\r\n",
    },
    Flood {
        name: "body that ends with the connection",
        start: "HTTP/1.1 200 OK\r\n\r\n",
        part: "xxxxxxxxxxxxxxxx",
    },
    Flood {
        name: "bytes after a response",
        start: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        part: "xxxxxxxxxxxxxxxx",
    },
];

/// A call of one of the clients.
#[derive(Clone, Copy, Debug)]
enum Call {
    Health,
    Load,
    Grant,
    Cancel,
    Append,
    Read,
    Hosts,
}

const CALLS: [Call; 7] = [
    Call::Health,
    Call::Load,
    Call::Grant,
    Call::Cancel,
    Call::Append,
    Call::Read,
    Call::Hosts,
];

/// Serves each connection with a flood until the client closes it. Returns the address and the
/// number of open connections.
fn serve(flood: &'static Flood) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let open = Arc::new(AtomicUsize::new(0));
    let counter = open.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let counter = counter.clone();
            counter.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                send(stream.unwrap(), flood);
                counter.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, open)
}

fn send(mut stream: TcpStream, flood: &Flood) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request);
    let parts = flood.part.repeat(4_096);
    let mut outcome = stream.write_all(flood.start.as_bytes());
    while outcome.is_ok() {
        outcome = stream.write_all(parts.as_bytes());
    }
}

/// Makes a call. Its result doesn't matter: bytes after a response need not spoil it.
async fn make(call: Call, address: SocketAddr) {
    let target = target::Client::new(address, TIMEOUT).await;
    let log = log::Client::new(address, TIMEOUT).await;
    let _ = match call {
        Call::Health => target.health().await.map_err(drop),
        Call::Load => target.load().await.map(drop).map_err(drop),
        Call::Grant => {
            let grant = target::Grant {
                epoch: Epoch(1),
                ttl_ms: 1_000,
                from_ms: 0,
                start_id: None,
            };
            target.grant(grant).await.map_err(drop)
        }
        Call::Cancel => {
            let cancelled = target.cancel(request::Id::default()).await;
            cancelled.map(drop).map_err(drop)
        }
        Call::Append => {
            let mut batch = log::Batch::new();
            batch.push_bytes(Id(1), vec![1]).unwrap();
            log.append(&batch).await.map(drop).map_err(drop)
        }
        Call::Read => {
            let query = log::Query {
                from: Offset(0),
                max: 10,
                wait_ms: 0,
            };
            log.read(query).await.map(drop).map_err(drop)
        }
        Call::Hosts => {
            let hosts = hosts::Client::new(address, TIMEOUT).await;
            hosts.list().await.map(drop).map_err(drop)
        }
    };
}

/// Returns the resident memory of this process.
fn memory_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Runs a function and returns by how much the memory of the process grew meanwhile.
fn observe_growth(run: impl FnOnce()) -> usize {
    let before = memory_bytes();
    let is_over = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(Mutex::new(before));
    let sampler = {
        let (is_over, peak) = (is_over.clone(), peak.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let mut peak = peak.lock().unwrap();
                *peak = memory_bytes().max(*peak);
                drop(peak);
                thread::sleep(SAMPLE_INTERVAL);
            }
        })
    };
    run();
    is_over.store(true, Ordering::SeqCst);
    sampler.join().unwrap();
    let peak = *peak.lock().unwrap();
    peak - before
}

/// Guards against a call to a target, the log or the host list that keeps bytes without end in
/// memory, does not end in time, or leaves its connection open.
#[test]
fn bytes_without_end_are_not_kept() {
    for flood in &FLOODS {
        for call in CALLS {
            let (address, open) = serve(flood);
            let name = format!("{call:?}, {}", flood.name);
            let began = Instant::now();
            let growth = observe_growth(|| {
                rt::System::new("test", rt::DefaultRuntime).block_on(async move {
                    make(call, address).await;
                    let elapsed = began.elapsed();
                    let limit = TIMEOUT.as_duration() + MARGIN;
                    assert!(elapsed < limit, "{name}: ended after {elapsed:?}");
                    let closing = Instant::now();
                    while open.load(Ordering::SeqCst) > 0 {
                        assert!(closing.elapsed() < MARGIN, "{name}: still connected");
                        ntex::time::sleep(ntex::time::Millis(20)).await;
                    }
                });
            });
            assert!(
                growth < MAX_GROWTH_BYTES,
                "{call:?}, {}: {growth} bytes kept",
                flood.name
            );
        }
    }
}
