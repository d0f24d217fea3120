//! Tests the clients of targets and of the log against services that send a response once more, late.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use ntex::rt;
use ragwortrill_core::{
    key::Digest,
    number::{Epoch, Offset, Timeline},
    record::Id,
    request,
    time::Span,
};
use ragwortrill_platform::{
    log,
    target::{Cancellation, Client, Error, Grant, Load},
};

const TIMEOUT: Span = Span::from_secs(10);
const LOAD: &str = r#"{"running":1,"waiting":0,"start_id":7,"clock_ms":5}"#;

/// Response of a target to a call, by its method and path.
fn target_response(call: &str, _: u64) -> Vec<u8> {
    let path = call.split(' ').nth(1).unwrap();
    let (status, body) = match path {
        "/control/grant" => ("409 Conflict", r#"{"highest":9}"#),
        "/control/load" => ("200 OK", LOAD),
        "/control/health" => ("204 No Content", ""),
        _ => ("404 Not Found", ""),
    };
    response(status, body.as_bytes())
}

/// Response of a log that gets a record before each request: the number of a request is the offset
/// of the last record.
fn log_response(call: &str, number: u64) -> Vec<u8> {
    let (first, end) = (Offset(1), Offset(number));
    let body = match call.starts_with("get ") {
        true => log::Page {
            first,
            end,
            records: Vec::new(),
            timeline: Timeline::default(),
        }
        .to_cbor(),
        false => log::Receipt {
            first: end,
            last: end,
            offsets: vec![end],
        }
        .to_cbor(),
    };
    response("200 OK", &body)
}

fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Reads the head of a call, whose body must come with it, and returns its method and path.
fn read_call(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 4_096];
    let mut length = 0;
    loop {
        length += stream
            .read(&mut bytes[length..])
            .ok()
            .filter(|read| *read > 0)?;
        let text = String::from_utf8_lossy(&bytes[..length]);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let stated = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let stated = stated.map_or(0, |length| length.parse().unwrap());
            if body.len() >= stated {
                return head.lines().next().map(str::to_owned);
            }
        }
    }
}

/// Starts a service that sends the last response on a connection once more before the next one. A
/// response depends on the first line of the request and on the number of requests so far.
fn serve(response: fn(&str, u64) -> Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let requests = requests.clone();
            thread::spawn(move || {
                let mut copy = Vec::new();
                while let Some(call) = read_call(&mut stream) {
                    let number = requests.fetch_add(1, Ordering::SeqCst) + 1;
                    let own = response(&call, number);
                    let _ = stream.write_all(&[copy, own.clone()].concat());
                    copy = own;
                }
            });
        }
    });
    address
}

/// A call of the client.
#[derive(Clone, Copy, Debug)]
enum Call {
    Cancel,
    Grant,
    Health,
    Load,
}

const CALLS: [Call; 4] = [Call::Cancel, Call::Grant, Call::Health, Call::Load];

/// Makes a call and returns whether its result is that of its own response.
async fn make(call: Call, client: &Client) -> bool {
    match call {
        Call::Cancel => {
            let request = request::Id {
                key: Digest::default(),
                number: 1,
            };
            client.cancel(request).await == Ok(Cancellation::Unknown)
        }
        Call::Grant => {
            let grant = Grant {
                epoch: Epoch(1),
                ttl_ms: 1,
                from_ms: 1,
                start_id: None,
            };
            let refusal = Error::StaleEpoch {
                granted: Epoch(1),
                highest: Epoch(9),
            };
            client.grant(grant).await == Err(refusal)
        }
        Call::Health => client.health().await == Ok(()),
        Call::Load => {
            let load = Load {
                running: 1,
                waiting: 0,
                start_id: 7,
                clock_ms: 5,
            };
            client.load().await == Ok(load)
        }
    }
}

/// Guards against the late copy of a response that counts as the response to the next call on its
/// connection (KNOWN-RED 18), such as that of a health check as the confirmation of a grant.
#[test]
fn late_copy_of_a_response_does_not_answer_the_next_call() {
    rt::System::new("test", rt::DefaultRuntime).block_on(async {
        for first in CALLS {
            for second in CALLS {
                let client = Client::new(serve(target_response), TIMEOUT).await;
                assert!(make(first, &client).await, "{first:?}");
                let is_own = make(second, &client).await;
                assert!(is_own, "{second:?} after {first:?}");
            }
        }
    });
}

/// A request to the log.
#[derive(Clone, Copy, Debug)]
enum LogCall {
    Append,
    Bounds,
    Read,
}

const LOG_CALLS: [LogCall; 3] = [LogCall::Append, LogCall::Bounds, LogCall::Read];

/// Makes a request and returns the end of the log that its response shows.
async fn read_end(call: LogCall, client: &log::Client) -> Result<Offset, log::Error> {
    match call {
        LogCall::Append => {
            let mut batch = log::Batch::new();
            batch.push_bytes(Id(1), vec![1]).unwrap();
            client.append(&batch).await.map(|receipt| receipt.last)
        }
        LogCall::Bounds => client.bounds().await.map(|bounds| bounds.end),
        LogCall::Read => {
            let query = log::Query {
                from: Offset(1),
                max: 10,
                wait_ms: 250,
            };
            client.read(query).await.map(|page| page.end)
        }
    }
}

/// Guards against the late copy of a response of the log that counts as the response to the next
/// request, and so as a proof that the log has nothing newer, or as the receipt of another append.
#[test]
fn late_copy_of_a_log_response_does_not_answer_the_next_request() {
    rt::System::new("test", rt::DefaultRuntime).block_on(async {
        for first in LOG_CALLS {
            for second in LOG_CALLS {
                let client = log::Client::new(serve(log_response), TIMEOUT).await;
                assert_eq!(read_end(first, &client).await, Ok(Offset(1)), "{first:?}");
                let end = read_end(second, &client).await;
                assert_eq!(end, Ok(Offset(2)), "{second:?} after {first:?}");
            }
        }
    });
}
