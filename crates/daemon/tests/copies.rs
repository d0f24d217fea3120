//! Tests of targets that send a response once more, late, on a connection that is in use again.

mod harness;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};

use harness::{
    Builder, Call, row,
    scripted::{Answer, Received, Server},
};

const KEY: &str = "k1";
/// Requests of each case.
const REQUESTS: usize = 12;

struct Case {
    name: &'static str,
    /// Whether the target names the request in its responses.
    is_named: bool,
    /// Request that is sent.
    call: fn() -> Call,
    /// Status line and headers of the responses.
    head: &'static str,
    /// Whether responses have no body, so that a header tells them apart.
    is_empty: bool,
}

/// Returns a response that states which request it answers in its body, or else in `ETag`.
fn response(case: &Case, request: &str) -> Vec<u8> {
    let name = match case.is_named {
        true => format!("Ragwortrill-Request: {request}\r\n"),
        false => String::new(),
    };
    let (length, body) = match case.is_empty {
        true => (0, ""),
        false => (request.len(), request),
    };
    let head = case.head;
    let text =
        format!("{head}\r\n{name}ETag: \"{request}\"\r\nContent-Length: {length}\r\n\r\n{body}");
    text.into_bytes()
}

/// Guards against passing on the late copy of another request's response (KNOWN-RED 18): a caller got
/// the response to another caller's request.
#[ntex::test]
async fn late_copy_of_a_response_does_not_answer_the_next_request() {
    let read = || Call::get("plans", "/work", KEY);
    let order = || Call::post("plans", "/work", KEY, "one crate");
    let cases = [
        Case {
            name: "named",
            is_named: true,
            call: read,
            head: "HTTP/1.1 200 OK",
            is_empty: false,
        },
        Case {
            name: "named, orders",
            is_named: true,
            call: order,
            head: "HTTP/1.1 200 OK",
            is_empty: false,
        },
        Case {
            name: "named, without a body",
            is_named: true,
            call: read,
            head: "HTTP/1.1 200 OK",
            is_empty: true,
        },
        Case {
            name: "unnamed",
            is_named: false,
            call: read,
            head: "HTTP/1.1 200 OK",
            is_empty: false,
        },
        Case {
            name: "unnamed, orders",
            is_named: false,
            call: order,
            head: "HTTP/1.1 200 OK",
            is_empty: false,
        },
        Case {
            name: "unnamed, without a body",
            is_named: false,
            call: read,
            head: "HTTP/1.1 404 -",
            is_empty: true,
        },
    ];
    for case in cases {
        let target = Server::start();
        let builder = Builder::new().daemons(1);
        let system = builder.remote("plans", row(true), target.address()).start();
        let ready = Call::get("plans", "/ready", KEY);
        system.call_until_served(0, &ready).await;
        let Case {
            name,
            call,
            is_named,
            ..
        } = case;
        let earlier = Arc::new(Mutex::new(BTreeMap::new()));
        target.set(move |received: &Received| {
            let own = response(&case, &received.request);
            let copy = earlier.lock().unwrap().insert(received.peer, own.clone());
            Answer {
                bytes: [copy.unwrap_or_default(), own].concat(),
                runs: true,
                ..Answer::default()
            }
        });
        let mut served = 0;
        for number in 0..REQUESTS {
            let call = call().header("ragwortrill-deadline-ms", "2000");
            let reply = system.call(0, &call).await;
            if reply.status >= 500 {
                continue;
            }
            let own = &reply.headers["ragwortrill-request"];
            let answered = reply.headers["etag"].trim_matches('"');
            assert_eq!(answered, own, "{name}, request {number}: {reply:?}");
            served += 1;
        }
        // A target that names none gets no connection twice, so no copy can replace a response.
        let expected = if is_named { 1 } else { REQUESTS };
        assert!(served >= expected, "{name}: {served} of {REQUESTS} served");
    }
}

/// Guards against opening a connection for each request to a target that names the request in its
/// responses, and against using one again whose responses name none.
#[ntex::test]
async fn only_named_responses_keep_their_connection() {
    let target = Server::start();
    let builder = Builder::new().daemons(1);
    let system = builder.remote("plans", row(true), target.address()).start();
    let call = Call::get("plans", "/ready", KEY);
    system.call_until_served(0, &call).await;
    // The first named response shows that the target names requests. The first unnamed one after it
    // comes on a kept connection, so its request is sent again.
    for (is_named, connections) in [(false, REQUESTS), (true, 2), (false, REQUESTS + 1)] {
        let peers = Arc::new(Mutex::new(BTreeSet::new()));
        let seen = peers.clone();
        target.set(move |received: &Received| {
            seen.lock().unwrap().insert(received.peer);
            match is_named {
                true => Answer::proper().named(&received.request),
                false => Answer::proper(),
            }
        });
        for number in 0..REQUESTS {
            let reply = system.call(0, &call).await;
            assert_eq!(reply.status, 200, "named {is_named}, {number}: {reply:?}");
        }
        let used = peers.lock().unwrap().len();
        assert_eq!(used, connections, "named {is_named}");
    }
}
