//! Tests of links with peers that are not authentic, and of requests over links.

mod harness;

use futures_util::{SinkExt, StreamExt};
use harness::{Builder, Call, System, row};
use ragwortrill_core::{event::Head, process::Process, time::Span};
use ragwortrill_wire::{
    Frame, Hello, Proof, Reject, Request, Role, Stream, VERSION, decode, encode,
};
use test_case::test_case;
use tokio::net::TcpStream;
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

const SECRET: &str = "a secret for tests";

/// Defect of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flaw {
    None,
    OldProof,
    Process,
    Secret,
    Version,
}

type Socket = WebSocketStream<TcpStream>;

async fn connect(system: &System) -> Socket {
    let daemon = system.daemons[0].as_ref().expect("the daemon runs");
    let address = daemon.addresses().peers;
    let stream = TcpStream::connect(address).await.expect("a connection");
    let url = format!("ws://{address}/");
    let opened = tokio_tungstenite::client_async(url, stream).await;
    opened.expect("the handshake succeeds").0
}

async fn send(socket: &mut Socket, frame: Frame) {
    let bytes = encode(&frame).expect("the frame fits");
    let _ = socket.send(Message::binary(bytes)).await;
}

async fn receive(socket: &mut Socket) -> Option<Frame> {
    loop {
        if let Message::Binary(bytes) = socket.next().await?.ok()? {
            return Some(decode(&bytes).expect("the daemon sends valid frames"));
        }
    }
}

fn hello(flaw: Flaw) -> Hello {
    let host = match flaw {
        Flaw::Process => "host-1",
        _ => "stranger",
    };
    Hello {
        version: VERSION + u16::from(flaw == Flaw::Version),
        process: Process {
            host: harness::name(host),
            incarnation: 1,
        },
        data_centre: harness::name("east"),
        offset: Default::default(),
        hash: 0,
        nonce: 5,
    }
}

/// Performs the handshake as a connector. Returns the frame that the daemon sends after its
/// introduction, the introductions of both sides and the connection.
async fn shake_hands(system: &System, flaw: Flaw) -> (Option<Frame>, Hello, Option<Hello>, Socket) {
    let mut socket = connect(system).await;
    let own = hello(flaw);
    send(&mut socket, Frame::Hello(own.clone())).await;
    let peer = match receive(&mut socket).await {
        Some(Frame::Hello(peer)) => peer,
        other => return (other, own, None, socket),
    };
    let secret = if flaw == Flaw::Secret {
        "guess"
    } else {
        SECRET
    };
    let mut proven_hello = peer.clone();
    proven_hello.nonce += u128::from(flaw == Flaw::OldProof);
    let proof = Proof::new(secret, Role::Connector, &own, &proven_hello);
    send(&mut socket, Frame::Proof(proof)).await;
    (receive(&mut socket).await, own, Some(peer), socket)
}

async fn system() -> System {
    let system = Builder::new().service("plans", row(true), 1).start();
    let call = Call::get("plans", "/ready", "k1");
    system.call_until_served(0, &call).await;
    system
}

/// Guards against links of peers without the secret, of another version, or of a process other than
/// the one that the log has for the host.
#[test_case(Flaw::OldProof, Reject::Proof; "a proof of an earlier link")]
#[test_case(Flaw::Process, Reject::Process; "a process that the log does not name")]
#[test_case(Flaw::Secret, Reject::Proof; "another secret")]
#[test_case(Flaw::Version, Reject::Version; "another version")]
fn an_invalid_peer_is_refused_with_a_reason(flaw: Flaw, reason: Reject) {
    let test = async move {
        let system = system().await;
        let (frame, _, _, mut socket) = shake_hands(&system, flaw).await;
        assert_eq!(frame, Some(Frame::Reject(reason)));
        assert_eq!(receive(&mut socket).await, None);
    };
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(test);
}

/// Guards against an acceptor that does not prove that it has the secret.
#[ntex::test]
async fn a_valid_peer_gets_the_daemons_proof() {
    let system = system().await;
    let (frame, own, peer, _socket) = shake_hands(&system, Flaw::None).await;
    let (Some(Frame::Proof(proof)), Some(peer)) = (frame, peer) else {
        panic!("the daemon sent no proof");
    };
    assert!(proof.is_valid(SECRET, Role::Acceptor, &peer, &own));
}

/// Guards against a repeated request frame that runs again, and against requests that are refused
/// because another thread of the peer sent a later one first.
#[ntex::test]
async fn each_request_frame_is_served_once_in_any_order() {
    let system = system().await;
    let (.., mut socket) = shake_hands(&system, Flaw::None).await;
    for number in [5, 3, 5, 4, 3] {
        let head = Head {
            request: Default::default(),
            service: harness::name("none"),
            key: None,
            idempotent: true,
            fingerprint: Default::default(),
            caller: 0,
        };
        let request = Request {
            stream: Stream(number),
            head,
            remaining: Span::from_secs(10),
            offset: Default::default(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            more: false,
        };
        send(&mut socket, Frame::Request(Box::new(request))).await;
    }
    let mut refused = Vec::new();
    while refused.len() < 3 {
        match receive(&mut socket).await {
            Some(Frame::Refusal(refusal)) => refused.push(refusal.stream.0),
            other => panic!("{other:?}"),
        }
    }
    refused.sort_unstable();
    assert_eq!(refused, [3, 4, 5]);
    let daemon = system.daemons[0].as_ref().expect("the daemon runs");
    let page = Call::direct(ntex::http::Method::GET, "/metrics");
    let page = harness::send(daemon.addresses().operators, &page).await;
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let mut lines = page.lines();
    let replayed = lines.find(|line| line.contains("replayed"));
    assert!(replayed.is_some_and(|line| line.ends_with(" 2")), "{page}");
}
