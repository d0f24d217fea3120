//! Tests the client of targets against one that sends a response once more, late.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use ntex::rt;
use ragwortrill_core::{key::Digest, number::Epoch, request, time::Span};
use ragwortrill_platform::target::{Cancellation, Client, Error, Grant, Load};

const TIMEOUT: Span = Span::from_secs(10);
const LOAD: &str = r#"{"running":1,"waiting":0,"start_id":7,"clock_ms":5}"#;

/// Response to a call of a kind, by the path of the call.
fn response(path: &str) -> Vec<u8> {
    let (status, body) = match path {
        "/control/grant" => ("409 Conflict", r#"{"highest":9}"#),
        "/control/load" => ("200 OK", LOAD),
        "/control/health" => ("204 No Content", ""),
        _ => ("404 Not Found", ""),
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Reads the head of a call, whose body must come with it, and returns its path.
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
                return head.split(' ').nth(1).map(str::to_owned);
            }
        }
    }
}

/// Starts a target that sends the last response on a connection once more before the next one.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut copy = Vec::new();
                while let Some(path) = read_call(&mut stream) {
                    let own = response(&path);
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
                let client = Client::new(serve(), TIMEOUT).await;
                assert!(make(first, &client).await, "{first:?}");
                let is_own = make(second, &client).await;
                assert!(is_own, "{second:?} after {first:?}");
            }
        }
    });
}
