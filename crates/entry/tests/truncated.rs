//! Tests of calls whose responses stop in the middle.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use bytes::Bytes;
use ragwortrill_entry::call::{Call, Client};

/// Largest body that the client accepts.
const MAX_BODY_BYTES: usize = 1_024;
/// Time in which a response must come.
const LIMIT: Duration = Duration::from_secs(5);

struct Case {
    name: &'static str,
    /// Bytes that the peer sends before it closes the connection.
    bytes: &'static str,
}

/// Guards against a grant, a report or a read of the store that counts as answered although its
/// response stopped in the middle.
#[tokio::test(flavor = "current_thread")]
async fn response_that_stops_in_the_middle_is_an_error() {
    let cases = [
        Case {
            name: "status line",
            bytes: "HTTP/1.1 20",
        },
        Case {
            name: "behind the status line",
            bytes: "HTTP/1.1 200 OK\r\n",
        },
        Case {
            name: "name of a header",
            bytes: "HTTP/1.1 200 OK\r\nContent-Le",
        },
        Case {
            name: "length",
            bytes: "HTTP/1.1 200 OK\r\nContent-Length: 1",
        },
        Case {
            name: "behind the last header",
            bytes: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        },
        Case {
            name: "empty line",
            bytes: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
        },
        Case {
            name: "behind an interim response",
            bytes: "HTTP/1.1 102 Processing\r\n\r\n",
        },
        Case {
            name: "head behind an interim response",
            bytes: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n",
        },
        Case {
            name: "body",
            bytes: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nit r",
        },
        Case {
            name: "line of a chunk",
            bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n6\r",
        },
        Case {
            name: "last chunk",
            bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nit ra\r\n0\r\n",
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let peer = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 1_024]).unwrap();
            stream.write_all(case.bytes.as_bytes()).unwrap();
        });
        let call = Call {
            method: "GET",
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let reply = Client::new(address, MAX_BODY_BYTES)
            .call(&call, LIMIT)
            .await;
        assert!(reply.is_err(), "cut in the {}: {reply:?}", case.name);
        peer.join().unwrap();
    }
}
