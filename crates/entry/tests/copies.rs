//! Responses that a peer sends once more, late, on a connection that another call uses.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use ragwortrill_entry::call::{Call, Client, Error, Reply, Subject};

/// Time within which a response arrives.
const LIMIT: Duration = Duration::from_secs(2);
/// Header that names the call of a response.
const ID_HEADER: &str = "Call-Id";

/// What the peer does with one call.
struct Exchange {
    /// Responses that it sends: status, and the call that each names.
    responses: &'static [(u16, Option<&'static str>)],
    /// Whether the call comes on a new connection.
    is_new: bool,
    /// Status that the caller gets, or none if the response may be another call's.
    status: Option<u16>,
}

struct Case {
    name: &'static str,
    /// Exchanges of the calls "0", "1" and so on.
    exchanges: &'static [Exchange],
}

/// Reads a call up to the end of its head. Returns false at the end of the connection.
fn read_call(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn respond(stream: &mut TcpStream, exchange: &Exchange) {
    for (status, id) in exchange.responses {
        let id = id.map_or(String::new(), |id| format!("{ID_HEADER}: {id}\r\n"));
        let wire = format!("HTTP/1.1 {status} -\r\n{id}Content-Length: 0\r\n\r\n");
        stream.write_all(wire.as_bytes()).unwrap();
    }
}

/// Serves the exchanges of a case. Panics if a call comes on another connection than stated.
fn serve(listener: &TcpListener, case: &Case) {
    let mut open: Option<TcpStream> = None;
    for exchange in case.exchanges {
        let is_kept = open.as_mut().is_some_and(read_call);
        assert_eq!(!is_kept, exchange.is_new, "{}", case.name);
        if !is_kept {
            let (mut stream, _) = listener.accept().unwrap();
            assert!(read_call(&mut stream), "{}", case.name);
            open = Some(stream);
        }
        respond(open.as_mut().unwrap(), exchange);
    }
}

async fn check(case: &'static Case) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = Client::new(listener.local_addr().unwrap(), 1_024);
    let serving = thread::spawn(move || serve(&listener, case));
    for (number, exchange) in case.exchanges.iter().enumerate() {
        let call = Call {
            method: "GET",
            path: "/order".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let subject = |reply: &Reply| match reply.headers.get(ID_HEADER) {
            Some(id) if id == number.to_string() => Subject::Own,
            Some(_) => Subject::Other,
            None => Subject::Unnamed,
        };
        let outcome = client.call_named(&call, LIMIT, || true, subject).await;
        let status = match outcome {
            Ok(reply) => Some(reply.status),
            Err(Error::Unattributed) => None,
            Err(error) => panic!("{}: {error}", case.name),
        };
        assert_eq!(status, exchange.status, "{}, call {number}", case.name);
    }
    drop(client);
    serving.join().unwrap();
}

/// Guards against a late copy of a response that is taken for the response to the next call.
#[test]
fn late_copy_of_a_response_does_not_answer_the_next_call() {
    static CASES: [Case; 4] = [
        Case {
            name: "named responses keep their connection",
            exchanges: &[
                Exchange {
                    responses: &[(200, Some("0"))],
                    is_new: true,
                    status: Some(200),
                },
                Exchange {
                    responses: &[(409, Some("1"))],
                    is_new: false,
                    status: Some(409),
                },
            ],
        },
        Case {
            name: "copy before the response, which ends the use of the connection",
            exchanges: &[
                Exchange {
                    responses: &[(200, Some("0"))],
                    is_new: true,
                    status: Some(200),
                },
                Exchange {
                    responses: &[(200, Some("0")), (409, Some("1"))],
                    is_new: false,
                    status: Some(409),
                },
                Exchange {
                    responses: &[(200, Some("2"))],
                    is_new: true,
                    status: Some(200),
                },
            ],
        },
        Case {
            name: "unnamed response on a connection of its own",
            exchanges: &[Exchange {
                responses: &[(409, None)],
                is_new: true,
                status: Some(409),
            }],
        },
        Case {
            name: "unnamed response on a connection that another call has used",
            exchanges: &[
                Exchange {
                    responses: &[(200, Some("0"))],
                    is_new: true,
                    status: Some(200),
                },
                Exchange {
                    responses: &[(200, None)],
                    is_new: false,
                    status: None,
                },
            ],
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for case in &CASES {
        runtime.block_on(check(case));
    }
}
