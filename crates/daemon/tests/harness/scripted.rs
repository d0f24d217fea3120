//! Target whose responses a test writes byte by byte.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// A request as a script sees it.
#[derive(Clone, Debug)]
pub struct Received {
    /// Identifier of the request.
    pub request: String,
    /// How often this request has arrived, with this time.
    pub arrivals: u32,
    /// Address of the other end of its connection.
    pub peer: SocketAddr,
}

/// What the target does with a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Bytes that are written in place of a response.
    pub bytes: Vec<u8>,
    /// Whether the request counts as run.
    pub runs: bool,
    /// Time before the bytes are written.
    pub delay: Duration,
    /// Whether the connection is closed behind the bytes.
    pub closes: bool,
}

/// Function that answers the requests; those of the control interface are answered properly.
pub type Script = dyn Fn(&Received) -> Answer + Send + Sync;

/// A running target, which does not check epochs.
pub struct Server {
    address: SocketAddr,
    state: Arc<State>,
}

struct State {
    script: Mutex<Arc<Script>>,
    arrivals: Mutex<BTreeMap<String, u32>>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Answer {
    /// Runs the request and responds properly.
    pub fn proper() -> Self {
        Self {
            bytes: b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nit ran".to_vec(),
            runs: true,
            ..Self::default()
        }
    }

    /// Names the request in the head of the response.
    pub fn named(mut self, request: &str) -> Self {
        let name = format!("\r\nRagwortrill-Request: {request}\r\n");
        if let Some(end) = self.bytes.windows(2).position(|part| part == b"\r\n") {
            self.bytes.splice(end..end + 2, name.into_bytes());
        }
        self
    }
}

impl Server {
    /// Starts a target that responds properly.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::new(State {
            script: Mutex::new(Arc::new(|_| Answer::proper())),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        Self { address, state }
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how requests are answered from now on.
    pub fn set(&self, script: impl Fn(&Received) -> Answer + Send + Sync + 'static) {
        *self.state.script.lock().unwrap() = Arc::new(script);
    }

    /// Returns how often a request ran.
    pub fn runs(&self, request: &str) -> u32 {
        let runs = self.state.runs.lock().unwrap();
        runs.get(request).copied().unwrap_or_default()
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else {
            return;
        };
        while let Some(head) = read_head(&mut stream) {
            let path = head.split(' ').nth(1).unwrap_or_default();
            let answer = match path.starts_with("/control/") {
                true => control_answer(path),
                false => self.answer(&head, peer),
            };
            thread::sleep(answer.delay);
            if stream.write_all(&answer.bytes).is_err() || answer.closes {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, head: &str, peer: SocketAddr) -> Answer {
        let request = header(head, "ragwortrill-request").to_owned();
        let mut arrivals = self.arrivals.lock().unwrap();
        let count = arrivals.entry(request.clone()).or_default();
        *count += 1;
        let received = Received {
            request: request.clone(),
            arrivals: *count,
            peer,
        };
        drop(arrivals);
        let script = self.script.lock().unwrap().clone();
        let answer = script(&received);
        if answer.runs {
            *self.runs.lock().unwrap().entry(request).or_default() += 1;
        }
        answer
    }
}

fn control_answer(path: &str) -> Answer {
    let body = match path {
        "/control/load" => r#"{"running":0,"waiting":0,"start_id":1,"clock_ms":1}"#,
        _ => "",
    };
    let length = body.len();
    let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    Answer {
        bytes: bytes.into_bytes(),
        ..Answer::default()
    }
}

/// Reads a request, whose body is discarded, and returns its head.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = header(&head, "content-length").parse().unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).ok()?;
    Some(head)
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let line = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
    line.map_or("", |(_, value)| value)
}
