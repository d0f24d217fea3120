//! Tests of targets that write a refusal once more on a kept connection.

mod harness;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use harness::{
    Builder, Call, row,
    scripted::{Answer, Received, Server},
};

const KEY: &str = "k1";
/// Orders of each case.
const ORDERS: usize = 12;

struct Case {
    name: &'static str,
    /// Refusal that is written twice.
    refusal: &'static str,
    /// Whether the target names the request in its responses.
    is_named: bool,
    /// Which requests are refused: each one whose number is divisible by this, once.
    refused: usize,
}

/// Guards against stating that an order was not run, or running it twice, because the copy of an
/// earlier refusal was read as its response.
#[ntex::test]
async fn repeated_refusal_is_not_read_as_the_response_to_a_later_request() {
    let empty = "HTTP/1.1 503 -\r\nRagwortrill-Refused: full\r\nContent-Length: 0\r\n\r\n";
    let text = "HTTP/1.1 503 -\r\nRagwortrill-Refused: full\r\nContent-Length: 4\r\n\r\nfull";
    let cases = [false, true].map(|is_named| {
        [
            Case {
                name: "without a body",
                refusal: empty,
                is_named,
                refused: 1,
            },
            Case {
                name: "with a body",
                refusal: text,
                is_named,
                refused: 1,
            },
            Case {
                name: "of every third order",
                refusal: empty,
                is_named,
                refused: 3,
            },
        ]
    });
    let target = Server::start();
    let builder = Builder::new().daemons(2);
    let system = builder.remote("plans", row(true), target.address()).start();
    for daemon in 0..2 {
        let ready = Call::get("plans", "/ready", KEY);
        system.call_until_served(daemon, &ready).await;
    }
    for case in cases.into_iter().flatten() {
        let pending = Arc::new(Mutex::new((0, BTreeMap::new())));
        let Case {
            refusal,
            is_named,
            refused,
            ..
        } = case;
        target.set(move |received: &Received| {
            let mut guard = pending.lock().unwrap();
            let (count, copies) = &mut *guard;
            let copy: Vec<u8> = copies.remove(&received.peer).unwrap_or_default();
            *count += usize::from(received.arrivals == 1);
            let is_refused = received.arrivals == 1 && *count % refused == 0;
            let mut answer = match is_refused {
                true => Answer {
                    bytes: refusal.as_bytes().to_vec(),
                    ..Answer::default()
                },
                false => Answer::proper(),
            };
            if is_named {
                answer = answer.named(&received.request);
            }
            if is_refused {
                copies.insert(received.peer, answer.bytes.clone());
            }
            answer.bytes = [copy, answer.bytes].concat();
            answer
        });
        let mut served = 0;
        for number in 0..ORDERS {
            let call = Call::post("plans", "/work", KEY, "one crate");
            let call = call.header("ragwortrill-deadline-ms", "2000");
            let reply = system.call(number % 2, &call).await;
            let name = format!("{}, named {is_named}, order {number}", case.name);
            let runs = target.runs(&reply.headers["ragwortrill-request"]);
            assert!(runs <= 1, "{name}: {runs} runs, {reply:?}");
            let is_refused = reply.status == 503;
            assert!(!is_refused || runs == 0, "{name}: {reply:?}");
            served += usize::from(reply.status == 200);
        }
        assert!(served > 0, "{}: no order was served", case.name);
    }
}
