//! Target that sends bytes without end in place of a response.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

/// Size of one write of bytes that are sent without a pause.
const WRITE_BYTES: usize = 16 * 1024;

/// A response that does not end.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Bytes that are sent once.
    pub start: &'static str,
    /// Bytes that are sent again and again.
    pub part: &'static str,
    /// Time between two parts; zero if they are sent without a pause.
    pub pause: Duration,
}

/// A running target, which does not check epochs.
pub struct Server {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    flood: Mutex<Option<Flood>>,
    runs: Mutex<BTreeMap<String, u32>>,
    open: AtomicU32,
}

impl Server {
    /// Starts a target that responds properly.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::new(State::default());
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

    /// Makes the target send bytes without end, or respond properly again.
    pub fn set(&self, flood: Option<Flood>) {
        *self.state.flood.lock().unwrap() = flood;
    }

    /// Returns on how many open connections the target sends bytes without end.
    pub fn open(&self) -> u32 {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Returns how often a request ran.
    pub fn runs(&self, request: &str) -> u32 {
        let runs = self.state.runs.lock().unwrap();
        runs.get(request).copied().unwrap_or_default()
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            let path = head.split(' ').nth(1).unwrap_or_default();
            let flood = match path.starts_with("/control/") {
                true => None,
                false => {
                    let request = header(&head, "ragwortrill-request").to_owned();
                    *self.runs.lock().unwrap().entry(request).or_default() += 1;
                    *self.flood.lock().unwrap()
                }
            };
            let body = match path {
                "/control/load" => r#"{"running":0,"waiting":0,"start_id":1,"clock_ms":1}"#,
                _ => "it ran",
            };
            let length = body.len();
            let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            match flood {
                Some(flood) => return self.write(&mut stream, flood),
                None if stream.write_all(whole.as_bytes()).is_err() => return,
                None => {}
            }
        }
    }

    fn write(&self, stream: &mut TcpStream, flood: Flood) {
        self.open.fetch_add(1, Ordering::SeqCst);
        let copies = match flood.pause.is_zero() {
            true => WRITE_BYTES / flood.part.len(),
            false => 1,
        };
        let part = flood.part.repeat(copies);
        let mut is_open = stream.write_all(flood.start.as_bytes()).is_ok();
        while is_open {
            thread::sleep(flood.pause);
            is_open = stream.write_all(part.as_bytes()).is_ok();
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
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
