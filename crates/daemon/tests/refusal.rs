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
    /// Which requests are refused: each one whose number is divisible by this, once.
    refused: usize,
}

/// Guards against stating that an order was not run, or running it twice, because the copy of an
/// earlier refusal was read as its response.
#[ntex::test]
async fn repeated_refusal_is_not_read_as_the_response_to_a_later_request() {
    let empty = "HTTP/1.1 503 -\r\nRagwortrill-Refused: full\r\nContent-Length: 0\r\n\r\n";
    let text = "HTTP/1.1 503 -\r\nRagwortrill-Refused: full\r\nContent-Length: 4\r\n\r\nfull";
    let cases = [
        Case {
            name: "without a body",
            refusal: empty,
            refused: 1,
        },
        Case {
            name: "with a body",
            refusal: text,
            refused: 1,
        },
        Case {
            name: "of every third order",
            refusal: empty,
            refused: 3,
        },
    ];
    let target = Server::start();
    let builder = Builder::new().daemons(2);
    let system = builder.remote("plans", row(true), target.address()).start();
    for daemon in 0..2 {
        let ready = Call::get("plans", "/ready", KEY);
        system.call_until_served(daemon, &ready).await;
    }
    for case in cases {
        let pending = Arc::new(Mutex::new((0, BTreeMap::new())));
        let Case {
            refusal, refused, ..
        } = case;
        target.set(move |received: &Received| {
            let mut guard = pending.lock().unwrap();
            let (count, copies) = &mut *guard;
            let copy: Vec<u8> = copies.remove(&received.peer).unwrap_or_default();
            *count += usize::from(received.arrivals == 1);
            if received.arrivals > 1 || *count % refused > 0 {
                let mut answer = Answer::proper();
                answer.bytes = [copy, answer.bytes].concat();
                return answer;
            }
            copies.insert(received.peer, refusal.as_bytes().to_vec());
            Answer {
                bytes: [&copy[..], refusal.as_bytes()].concat(),
                ..Answer::default()
            }
        });
        let mut served = 0;
        for number in 0..ORDERS {
            let call = Call::post("plans", "/work", KEY, "one crate");
            let call = call.header("ragwortrill-deadline-ms", "2000");
            let reply = system.call(number % 2, &call).await;
            let name = format!("{}, order {number}", case.name);
            let runs = target.runs(&reply.headers["ragwortrill-request"]);
            assert!(runs <= 1, "{name}: {runs} runs, {reply:?}");
            let is_refused = reply.status == 503;
            assert!(!is_refused || runs == 0, "{name}: {reply:?}");
            served += usize::from(reply.status == 200);
        }
        assert!(served > 0, "{}: no order was served", case.name);
    }
}
