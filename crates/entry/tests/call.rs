//! Calls that are valid for a limited time.

use std::{
    cell::Cell,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use ragwortrill_entry::call::{Call, Client, Error};

/// Time within which an answer arrives.
const LIMIT: Duration = Duration::from_secs(2);
/// Time within which bytes that were sent arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

struct Case {
    name: &'static str,
    /// Whether the connection has had a call before.
    is_kept: bool,
    is_valid: bool,
}

/// Answers calls until the connection ends or has had no byte for a time. Returns how many.
fn answer(mut stream: TcpStream) -> usize {
    stream.set_read_timeout(Some(ARRIVAL_TIME)).unwrap();
    let mut bytes = [0; 1_024];
    let mut calls = 0;
    while let Ok(length @ 1..) = stream.read(&mut bytes) {
        assert!(bytes[..length].ends_with(b"\r\n\r\n"));
        calls += 1;
        let wire = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(wire).unwrap();
    }
    let _ = stream.shutdown(Shutdown::Both);
    calls
}

async fn check(case: &Case) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = Client::new(listener.local_addr().unwrap(), 1_024);
    let accepting = listener.try_clone().unwrap();
    let call = Call {
        method: "GET",
        path: "/order".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let mut kept = None;
    if case.is_kept {
        kept = Some(thread::spawn(move || answer(accepting.accept().unwrap().0)));
        assert_eq!(client.call(&call, LIMIT).await.unwrap().status, 200);
    }
    listener.set_nonblocking(true).unwrap();
    let (asked, accepted) = (Cell::new(0), Cell::new(None));
    let is_valid = || {
        asked.set(asked.get() + 1);
        if !case.is_kept {
            let (stream, _) = listener
                .accept()
                .expect("asked before the connection was there");
            stream.set_nonblocking(false).unwrap();
            accepted.set(Some(thread::spawn(move || answer(stream))));
        }
        case.is_valid
    };
    let outcome = client.call_if(&call, LIMIT, is_valid).await;
    let is_sent = match outcome {
        Ok(reply) => reply.status == 200,
        Err(Error::Expired) => false,
        Err(error) => panic!("{}: {error}", case.name),
    };
    assert_eq!(is_sent, case.is_valid, "{}", case.name);
    assert_eq!(asked.get(), 1, "{}", case.name);
    let earlier = usize::from(case.is_kept);
    let served = kept.or(accepted.take()).unwrap().join().unwrap();
    assert_eq!(
        served,
        earlier + usize::from(case.is_valid),
        "{}",
        case.name
    );
    let error = listener.accept().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::WouldBlock, "{}", case.name);
}

/// Guards against an order that leaves after the lease or its time limit has ended: both were checked
/// before the connection was opened, and a late event loop wrote the order seconds later.
#[test]
fn call_is_sent_only_while_it_is_valid() {
    let cases = [
        Case {
            name: "valid call on a new connection",
            is_kept: false,
            is_valid: true,
        },
        Case {
            name: "call that ends while the connection is opened",
            is_kept: false,
            is_valid: false,
        },
        Case {
            name: "valid call on a kept connection",
            is_kept: true,
            is_valid: true,
        },
        Case {
            name: "call that has ended on a kept connection",
            is_kept: true,
            is_valid: false,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for case in &cases {
        runtime.block_on(check(case));
    }
}
