//! The platform's metadata store: a log with the newest record of each key, and a group of members.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, field, millis, response},
    record,
};

/// Time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Largest number of records on a page of a list.
const PAGE: usize = 500;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    members: BTreeMap<String, Instant>,
    generation: u64,
    leader: Option<String>,
    /// Text and delay: the next append that contains the text gets no answer, and is executed after
    /// the delay if its condition still holds.
    late: Option<(String, Duration)>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    appended: Condvar,
}

/// The running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        record::note(format!("store: {topic} {key} <- {value}"));
        let mut state = self.shared.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        drop(state);
        self.shared.appended.notify_all();
    }

    /// Returns the values of the records of a topic whose value contains a text, the oldest first.
    pub fn find(&self, topic: &str, text: &str) -> Vec<String> {
        let state = self.shared.state.lock().unwrap();
        let records = state.topics.get(topic).into_iter().flatten();
        let values = records.map(|(_, value)| String::from_utf8_lossy(value).into_owned());
        values.filter(|value| value.contains(text)).collect()
    }

    /// Returns the member that the group names as candidate.
    pub fn leader(&self) -> Option<String> {
        self.shared.state.lock().unwrap().leader.clone()
    }

    /// Makes the next append that contains a text get no answer. It is executed after a time, if its
    /// condition still holds.
    pub fn delay_append(&self, text: &str, delay: Duration) {
        let mut state = self.shared.state.lock().unwrap();
        state.late = Some((text.to_owned(), delay));
    }

    /// Takes the delay of an append, if it is to get no answer.
    fn take_delay(&self, request: &Request) -> Option<Duration> {
        let mut state = self.shared.state.lock().unwrap();
        let (text, _) = state.late.as_ref()?;
        let is_meant = request.path == "/api/log-append" && request.text().contains(text.as_str());
        let (_, delay) = state.late.take_if(|_| is_meant)?;
        Some(delay)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            thread::sleep(CALL_TIME);
            if let Some(delay) = self.take_delay(&request) {
                record::note("store: an append gets no answer");
                thread::sleep(delay);
                let wire = self.handle(&request);
                let head = String::from_utf8_lossy(&wire[..12]).into_owned();
                record::note(format!("store: the append is executed late: {head}"));
                // The connection returns nothing further.
                while let Ok(Some(_)) = http::read_request(&mut reader) {}
                return;
            }
            let wire = self.handle(&request);
            if writer.write_all(&wire).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request) -> Vec<u8> {
        match request.path.as_str() {
            "/api/log-newest" => self.list(request),
            "/api/log-read" => self.read(request),
            "/api/log-append" => self.append(request),
            "/api/log-join" => self.join(request),
            "/api/log-leave" => self.leave(request),
            _ => response(404, &[], b""),
        }
    }

    fn list(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("Topic").unwrap_or_default();
        let after = request.query("after").map(unescape);
        let state = self.shared.state.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut rest = newest
            .into_iter()
            .filter(|(key, (_, value))| {
                !value.is_empty() && after.as_ref().is_none_or(|after| *key > after.as_str())
            })
            .peekable();
        let mut items = Vec::new();
        while items.len() < PAGE
            && let Some((key, (offset, value))) = rest.next()
        {
            let value = base64(value);
            items.push(format!(
                r#"{{"Key":"{key}","Value":"{value}","Offset":{offset}}}"#
            ));
        }
        let body = format!(
            r#"{{"items":[{}],"HasMore":{},"EndOffset":{}}}"#,
            items.join(","),
            rest.peek().is_some(),
            records.len()
        );
        response(200, &[], body.as_bytes())
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("Topic").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let from: usize = number("From").unwrap_or(0);
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0) as u64);
        let state = self.shared.state.lock().unwrap();
        let end = |state: &State| state.topics.get(topic).map_or(0, Vec::len);
        let (state, _) = self
            .shared
            .appended
            .wait_timeout_while(state, wait, |state| end(state) <= from)
            .unwrap();
        let mut body = (end(&state) as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        let records = state.topics.get(topic).into_iter().flatten();
        for (key, value) in records.skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        response(200, &[], &body)
    }

    fn append(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("Topic").unwrap_or_default();
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return response(403, &[], b"");
        }
        let at: Option<usize> = request.query("At").and_then(|at| at.parse().ok());
        let mut state = self.shared.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if at.is_some_and(|at| at != end) {
            return response(412, &[], format!(r#"{{"EndOffset":{end}}}"#).as_bytes());
        }
        let mut rest = request.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let (content, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            if topic == "keyed.ownership" {
                let value = String::from_utf8_lossy(value);
                record::note(format!("store: {topic} {key} <- {value}"));
            }
            records.push((key, value.to_vec()));
            rest = tail;
        }
        let after = records.len();
        drop(state);
        self.shared.appended.notify_all();
        let body = format!(r#"{{"Offset":{end},"EndOffset":{after}}}"#);
        response(200, &[], body.as_bytes())
    }

    fn join(&self, request: &Request) -> Vec<u8> {
        let body = request.text();
        let member = field(&body, "Member").unwrap_or_default().to_owned();
        let ttl = field(&body, "Ttl_time").and_then(millis).unwrap_or(2_000);
        let mut state = self.shared.state.lock().unwrap();
        let until = Instant::now() + Duration::from_millis(ttl);
        state.members.insert(member.clone(), until);
        state.assign();
        let parts = match state.leader.as_ref() == Some(&member) {
            true => r#"[["leadership",0,0]]"#,
            false => "[]",
        };
        let body = format!(
            r#"{{"Generation":{},"Ttl_time":"{ttl}ms","parts":{parts}}}"#,
            state.generation
        );
        response(200, &[], body.as_bytes())
    }

    fn leave(&self, request: &Request) -> Vec<u8> {
        let body = request.text();
        let mut state = self.shared.state.lock().unwrap();
        state
            .members
            .remove(field(&body, "Member").unwrap_or_default());
        state.assign();
        response(200, &[], b"{}")
    }
}

impl State {
    /// Assigns the only partition of the group to one of its members.
    fn assign(&mut self) {
        let now = Instant::now();
        self.members.retain(|_, until| *until > now);
        let leader = self.leader.as_ref();
        if !leader.is_some_and(|leader| self.members.contains_key(leader)) {
            self.leader = self.members.keys().next().cloned();
            self.generation += 1;
            record::note(format!("store: group names {:?}", self.leader));
        }
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
