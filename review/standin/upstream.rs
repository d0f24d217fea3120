//! Upstreams of the platform: those of a partitioned service run a request only while they hold its
//! key. All of them are judged together.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request, field, millis, response},
    record::{breach, note, now},
};

/// Number of keys of a service.
const KEYS: usize = 65_536;
/// Requests that an upstream runs concurrently.
const SLOTS: usize = 6;
/// Requests that wait at an upstream.
const QUEUE: usize = 24;
/// Time for which two upstreams may hold the same keys.
const MAX_OVERLAP_MS: u64 = 500;
/// Interval between two looks at who holds which keys.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A request that an upstream works on.
#[derive(Clone)]
struct Work {
    key: usize,
    request: String,
}

/// Faults of an upstream.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Share of the upstream's answers of which it sends a second copy, late: where the next answer
    /// on that connection is expected. The copies are those of its latest answers to grants.
    pub copies: f64,
    /// Whether the upstream sends copies now. Until then it only counts its answers.
    pub is_repeating: bool,
}

struct State {
    service: String,
    is_sharded: bool,
    is_up: bool,
    connections: Vec<TcpStream>,
    /// Highest epoch seen for each key.
    seen: Vec<u64>,
    /// Highest epoch of a grant for each key.
    had: Vec<u64>,
    /// When the grant of each key runs out; 0 if it was released.
    until: Vec<u64>,
    /// When the grant of each key would have run out without a release.
    would_end: Vec<u64>,
    running: BTreeMap<u64, Work>,
    waiting: usize,
    next_run: u64,
    faults: Faults,
    /// Answers since the faults began, and how many of them were repeated.
    answers: u64,
    copies: u64,
}

struct World {
    upstreams: BTreeMap<String, State>,
    /// Keys that two upstreams hold: since when, and which upstreams began requests on them since.
    shared_keys: BTreeMap<(String, usize), (u64, BTreeSet<String>)>,
}

/// All upstreams.
#[derive(Clone)]
pub struct Upstreams(Arc<(Mutex<World>, Condvar)>);

/// A running upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub born: u64,
    /// Time for which it works on a request.
    pub work: Duration,
    pub all: Upstreams,
}

/// How the end of a request's run is answered.
enum Outcome {
    Ran,
    LeaseEnded,
}

impl Upstreams {
    pub fn new() -> Self {
        let world = World {
            upstreams: BTreeMap::new(),
            shared_keys: BTreeMap::new(),
        };
        let all = Self(Arc::new((Mutex::new(world), Condvar::new())));
        let looking = all.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LOOK_INTERVAL);
                looking.lock().look();
            }
        });
        all
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        self.0.0.lock().unwrap()
    }

    /// Starts an upstream.
    pub fn start(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        is_sharded: bool,
        work_ms: u64,
    ) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            service: service.to_owned(),
            is_sharded,
            is_up: true,
            connections: Vec::new(),
            seen: vec![0; KEYS],
            had: vec![0; KEYS],
            until: vec![0; KEYS],
            would_end: vec![0; KEYS],
            running: BTreeMap::new(),
            waiting: 0,
            next_run: 0,
            faults: Faults::default(),
            answers: 0,
            copies: 0,
        };
        self.lock().upstreams.insert(id.to_owned(), state);
        let upstream = Upstream {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: wall_ms(),
            work: Duration::from_millis(work_ms),
            all: self.clone(),
        };
        let accepting = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = accepting.clone();
                let mut world = upstream.all.lock();
                let state = world.upstreams.get_mut(&upstream.id).unwrap();
                if !state.is_up {
                    return;
                }
                state.connections.extend(stream.try_clone());
                drop(world);
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// Sets the faults of an upstream.
    pub fn set_faults(&self, id: &str, faults: Faults) {
        let mut world = self.lock();
        let state = world.upstreams.get_mut(id).unwrap();
        note(format!(
            "{id}: faults change; {} answers, {} of them repeated before",
            state.answers, state.copies
        ));
        if state.faults.copies != faults.copies {
            state.answers = 0;
            state.copies = 0;
        }
        state.faults = faults;
    }

    /// Makes an upstream crash: its connections are closed and new ones are refused.
    pub fn crash(&self, upstream: &Upstream) {
        let mut world = self.lock();
        let state = world.upstreams.get_mut(&upstream.id).unwrap();
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(world);
        note(format!("{}: crashes", upstream.id));
        // Wakes the task that accepts connections, which ends and closes the listener.
        let _ = TcpStream::connect(upstream.address);
    }

    fn is_up(&self, id: &str) -> bool {
        self.lock().upstreams[id].is_up
    }

    /// Returns the part of a service's keys that some upstream holds.
    pub fn held(&self, service: &str) -> f64 {
        let world = self.lock();
        let at = now();
        let of_service = |state: &&State| state.service == service;
        let states: Vec<&State> = world.upstreams.values().filter(of_service).collect();
        let held = (0..KEYS).filter(|key| states.iter().any(|state| state.until[*key] > at));
        held.count() as f64 / KEYS as f64
    }
}

impl World {
    /// Looks for keys that two upstreams hold for too long.
    fn look(&mut self) {
        let at = now();
        let mut holders: BTreeMap<(&str, usize), Vec<&str>> = BTreeMap::new();
        for (id, state) in &self.upstreams {
            if !state.is_sharded || !state.is_up {
                continue;
            }
            let others = self.upstreams.iter().filter(|(other, rival)| {
                *other > id && rival.is_up && rival.service == state.service
            });
            for (other, rival) in others {
                for key in 0..KEYS {
                    if state.until[key] > at && rival.until[key] > at {
                        holders.insert((&state.service, key), vec![id, other]);
                    }
                }
            }
        }
        let mut breaches = BTreeMap::new();
        let mut shared_keys = BTreeMap::new();
        for ((service, key), ids) in holders {
            let known = (service.to_owned(), key);
            let (since, begun) = self
                .shared_keys
                .get(&known)
                .cloned()
                .unwrap_or((at, BTreeSet::new()));
            if since != u64::MAX && at - since > MAX_OVERLAP_MS {
                let text = format!(
                    "OWNER: {} hold the same keys for over 0.5 s",
                    ids.join(" and ")
                );
                let keys: &mut Vec<usize> = breaches.entry(text).or_default();
                keys.push(key);
                shared_keys.insert(known, (u64::MAX, begun));
            } else {
                shared_keys.insert(known, (since, begun));
            }
        }
        self.shared_keys = shared_keys;
        for (text, keys) in breaches {
            breach(format!("{text}: {} keys from {}", keys.len(), keys[0]));
        }
    }

    /// Judges a grant that an upstream takes.
    fn judge_grant(&self, id: &str, first: usize, last: usize, fence: u64) {
        let at = now();
        let state = &self.upstreams[id];
        for (other, rival) in &self.upstreams {
            if other == id || rival.service != state.service || !rival.is_up {
                continue;
            }
            let is_new = |key: &usize| state.had[*key] < fence;
            let keys = (first..=last).filter(is_new);
            if let Some(key) = keys.clone().find(|key| rival.had[*key] >= fence) {
                breach(format!(
                    "OWNER: {id} takes key {key} with epoch {fence}; {other} had it with {}",
                    rival.had[key]
                ));
            }
            let is_given = |work: &&Work| {
                (first..=last).contains(&work.key)
                    && state.had[work.key] < fence
                    && rival.would_end[work.key] > at
            };
            if let Some(work) = rival.running.values().find(is_given) {
                breach(format!(
                    "OWNER: {id} is given key {} with epoch {fence} while {other} works on it \
                     (request {}), {} ms before the hold of {other} would have run out",
                    work.key,
                    work.request,
                    rival.would_end[work.key] - at
                ));
            }
        }
    }

    /// Judges the start of a request on a key.
    fn judge_start(&mut self, id: &str, key: usize) {
        let at = now();
        let service = self.upstreams[id].service.clone();
        let holds =
            |state: &&State| state.service == service && state.is_up && state.until[key] > at;
        if self.upstreams.values().filter(holds).count() < 2 {
            return;
        }
        let entry = self.shared_keys.entry((service, key));
        let (_, begun) = entry.or_insert((at, BTreeSet::new()));
        if begun.insert(id.to_owned()) && begun.len() == 2 {
            let ids: Vec<&str> = begun.iter().map(String::as_str).collect();
            breach(format!(
                "OWNER: {} hold key {key} at the same time, and both begin requests on it",
                ids.join(" and ")
            ));
        }
    }
}

impl Upstream {
    /// Returns the upstream's entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"Address":"{}","Info":{{"Service":"{}","Version":"v1","Zone":"{}","Slots":{SLOTS}}},"Status":{{"State":"{state}","Sequence":{sequence},"ColdRemaining":"0ms"}},"born":{}}}"#,
            self.address, self.service, self.zone, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        // Answer that is sent once more where the next one is expected.
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if let Some(copy) = copy.take() {
                note(format!(
                    "{}: sends its previous answer on the connection again, as {} {} arrives",
                    self.id, request.method, request.path
                ));
                if writer.write_all(&copy).is_err() {
                    return;
                }
            }
            let wire = self.handle(&request);
            if !self.all.is_up(&self.id) {
                return;
            }
            if writer.write_all(&wire).is_err() {
                return;
            }
            if self.is_repeated(&request) {
                copy = Some(wire);
            }
        }
    }

    /// Counts an answer, and decides whether it is sent twice.
    fn is_repeated(&self, request: &Request) -> bool {
        let mut world = self.all.lock();
        let state = world.upstreams.get_mut(&self.id).unwrap();
        state.answers += 1;
        let is_within = (state.copies + 1) as f64 <= state.faults.copies * state.answers as f64;
        let repeats = request.path == "/api/grant" && is_within && state.faults.is_repeating;
        state.copies += u64::from(repeats);
        repeats
    }

    fn handle(&self, request: &Request) -> Vec<u8> {
        let expected = request.header("Expected-Instance");
        if !expected.is_empty() && expected != self.id {
            note(format!("{}: 421, expected {expected}", self.id));
            let headers = [("Instance-Id", self.id.as_str()), ("Not-Executed", "1")];
            return response(421, &headers, b"");
        }
        match request.path.as_str() {
            "/health" => response(200, &[("Instance-Id", &self.id)], b""),
            "/api/grant" => self.grant(request),
            "/api/release" => self.release(request),
            _ => self.run(request),
        }
    }

    fn grant(&self, request: &Request) -> Vec<u8> {
        let body = request.text();
        let Some((first, last, fence)) = keys(&body) else {
            return response(400, &[], b"");
        };
        let hold = field(&body, "Hold").and_then(millis).unwrap_or_default();
        let mut world = self.all.lock();
        let state = world.upstreams.get_mut(&self.id).unwrap();
        if state.seen[first..=last].iter().any(|seen| *seen > fence) {
            note(format!(
                "{}: grant {first}-{last} epoch {fence}: 409",
                self.id
            ));
            return response(409, &[], b"");
        }
        world.judge_grant(&self.id, first, last, fence);
        let until = now() + hold;
        let state = world.upstreams.get_mut(&self.id).unwrap();
        let is_new = (first..=last).any(|key| state.had[key] != fence);
        for key in first..=last {
            state.seen[key] = fence;
            state.had[key] = fence;
            state.until[key] = until;
            state.would_end[key] = until;
        }
        if is_new {
            note(format!(
                "{}: granted {first}-{last} epoch {fence} for {hold} ms",
                self.id
            ));
        }
        response(200, &[], b"")
    }

    fn release(&self, request: &Request) -> Vec<u8> {
        let Some((first, last, fence)) = keys(&request.text()) else {
            return response(400, &[], b"");
        };
        let mut world = self.all.lock();
        let state = world.upstreams.get_mut(&self.id).unwrap();
        for key in first..=last {
            state.seen[key] = state.seen[key].max(fence);
            state.until[key] = 0;
        }
        note(format!(
            "{}: release {first}-{last} epoch {fence} arrives",
            self.id
        ));
        let is_working = |world: &mut World| {
            let state = &world.upstreams[&self.id];
            let mut running = state.running.values();
            running.any(|work| (first..=last).contains(&work.key))
        };
        let changed = &self.all.0.1;
        drop(changed.wait_while(world, is_working).unwrap());
        note(format!(
            "{}: release {first}-{last} epoch {fence} answered",
            self.id
        ));
        response(200, &[("Handover-Token", "5c0e7a21d94b36f8")], b"")
    }

    fn run(&self, request: &Request) -> Vec<u8> {
        let id = request.header("Request-Id").to_owned();
        let refusal =
            |status: u16| response(status, &[("Request-Id", &id), ("Not-Executed", "1")], b"");
        if id.is_empty() {
            return response(400, &[("Not-Executed", "1")], b"");
        }
        let key: usize = request.header("Shard-Key").parse().unwrap_or_default();
        let mut world = self.all.lock();
        let state = world.upstreams.get_mut(&self.id).unwrap();
        if state.is_sharded && state.until[key] <= now() {
            note(format!("{}: request {id} key {key}: 421", self.id));
            return refusal(421);
        }
        if state.waiting >= QUEUE {
            return refusal(503);
        }
        state.waiting += 1;
        let changed = &self.all.0.1;
        let is_full = |world: &mut World| world.upstreams[&self.id].running.len() >= SLOTS;
        let mut world = changed.wait_while(world, is_full).unwrap();
        let state = world.upstreams.get_mut(&self.id).unwrap();
        state.waiting -= 1;
        if state.is_sharded && state.until[key] <= now() {
            note(format!("{}: request {id} key {key}: 421", self.id));
            return refusal(421);
        }
        let run = state.next_run;
        state.next_run += 1;
        let work = Work {
            key,
            request: id.clone(),
        };
        state.running.insert(run, work);
        let is_sharded = state.is_sharded;
        if is_sharded {
            world.judge_start(&self.id, key);
        }
        drop(world);
        note(format!("{}: runs {id} key {key}", self.id));
        thread::sleep(self.work);
        let mut world = self.all.lock();
        let state = world.upstreams.get_mut(&self.id).unwrap();
        state.running.remove(&run);
        let outcome = match is_sharded && state.would_end[key] <= now() {
            true => Outcome::LeaseEnded,
            false => Outcome::Ran,
        };
        drop(world);
        changed.notify_all();
        let status = match outcome {
            Outcome::Ran => 200,
            Outcome::LeaseEnded => 500,
        };
        let headers = [
            ("Request-Id", id.as_str()),
            ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Keep-Alive", "timeout=10"),
        ];
        response(status, &headers, format!("{} ran {id}", self.id).as_bytes())
    }
}

/// Returns the first and last key of an order, and its epoch.
fn keys(body: &str) -> Option<(usize, usize, u64)> {
    let first = field(body, "From")?.parse().ok()?;
    let last = field(body, "Target")?.parse().ok()?;
    let fence = field(body, "fence")?.parse().ok()?;
    (first <= last && last < KEYS).then_some((first, last, fence))
}

/// Returns the Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    let elapsed = std::time::UNIX_EPOCH.elapsed();
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
