//! Model of a daemon: a real node with those parts of the daemon that affect its decisions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ragwortrill_core::{
    event::{Event, Read, Ticket},
    node::Node,
    number::Offset,
    process::Process,
    record::Entry,
    time::Instant,
};

use super::{TICK_INTERVAL, World, agenda::Job, clock::Clock, settings::Policy};

/// Maximum number of records in the answer to a peer.
const MAX_PEER_RECORDS: usize = 64;

/// Identifies one process of a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessId {
    /// Index of the daemon.
    pub index: usize,
    /// Incarnation of the process, unique in the world.
    pub incarnation: u64,
}

/// Sender of a request that a daemon received.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// The caller.
    Caller,
    /// Another daemon, which waits for the result under this ticket and token.
    Peer(ProcessId, Ticket, u64),
}

/// A daemon with its current or last process.
pub(super) struct Daemon {
    pub(super) node: Node,
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    /// Number of earlier processes of the daemon.
    pub(super) restarts: u64,
    pub(super) alive: bool,
    pub(super) paused: bool,
    pub(super) paused_at: Instant,
    pub(super) unready_at: Option<Instant>,
    pub(super) inbox: VecDeque<Job>,
    pub(super) pending: Vec<Entry>,
    pub(super) appending: bool,
    pub(super) next: Offset,
    pub(super) tickets: BTreeMap<Ticket, (usize, Origin)>,
    pub(super) last_ticket: u64,
    /// Forwarded requests by token, with the process that each was forwarded to.
    pub(super) forwards: BTreeMap<u64, (Ticket, ProcessId)>,
    /// Tokens of operations that have not completed.
    tokens: BTreeSet<u64>,
    rows: Vec<(Offset, Entry)>,
    end: Offset,
    proof: Option<Instant>,
    /// Time of each target's last answer to a probe, for [`Policy::Hashing`].
    pub(super) last_probe_answer: BTreeMap<usize, Instant>,
}

impl Daemon {
    pub(super) fn new(node: Node, clock: Clock) -> Self {
        Self {
            incarnation: node.config().process.incarnation,
            restarts: 0,
            node,
            clock,
            alive: true,
            paused: false,
            paused_at: Instant::default(),
            unready_at: None,
            inbox: VecDeque::new(),
            pending: Vec::new(),
            appending: false,
            next: Offset(1),
            tickets: BTreeMap::new(),
            last_ticket: 0,
            forwards: BTreeMap::new(),
            tokens: BTreeSet::new(),
            rows: Vec::new(),
            end: Offset(0),
            proof: None,
            last_probe_answer: BTreeMap::new(),
        }
    }

    pub(super) fn process(&self) -> &Process {
        &self.node.config().process
    }

    /// Records the result of a read of the log.
    pub(super) fn record_read(&mut self, read: &Read) {
        for (offset, entry) in &read.rows {
            self.next = offset.next();
            self.pending.retain(|pending| pending.id != entry.id);
        }
        self.rows.extend(read.rows.iter().cloned());
        self.end = read.end;
        if self.next > read.end {
            self.proof = Some(read.sent);
        }
    }

    /// Returns records after an offset, for a peer whose request left at `sent` on its own clock.
    pub(super) fn read_for_peer(&self, sent: Instant, offset: Offset, now: Instant) -> Read {
        let age = self.proof.map(|proof| now.since(proof));
        let rows = self.rows.iter().filter(|(o, _)| *o > offset);
        Read {
            sent: age.map_or(Instant::default(), |age| sent - age),
            end: self.end,
            rows: rows.take(MAX_PEER_RECORDS).cloned().collect(),
        }
    }
}

impl World {
    /// Returns the current process of a daemon.
    pub fn process(&self, index: usize) -> ProcessId {
        let incarnation = self.daemons[index].incarnation;
        ProcessId { index, incarnation }
    }

    /// Returns whether a daemon is running.
    pub fn is_alive(&self, index: usize) -> bool {
        self.daemons[index].alive
    }

    pub(super) fn start_daemon(&mut self, index: usize) {
        let process = self.process(index);
        match self.settings.policy {
            Policy::Hashing => self.probe_all(process),
            _ => {
                self.read(process);
                self.tick(process);
            }
        }
    }

    fn tick(&mut self, process: ProcessId) {
        self.handle(process, Event::Tick);
        self.count_owners(process.index);
        self.schedule_on(TICK_INTERVAL, process, move |world| world.tick(process));
    }

    /// Returns a token for an operation, which [`World::take_token`] accepts once.
    pub(super) fn new_token(&mut self, process: ProcessId) -> u64 {
        self.tokens += 1;
        self.daemons[process.index].tokens.insert(self.tokens);
        self.tokens
    }

    pub(super) fn take_token(&mut self, process: ProcessId, token: u64) -> bool {
        let daemon = &mut self.daemons[process.index];
        daemon.forwards.remove(&token);
        daemon.incarnation == process.incarnation && daemon.tokens.remove(&token)
    }

    pub(super) fn is_pending(&self, process: ProcessId, token: u64) -> bool {
        let daemon = &self.daemons[process.index];
        daemon.alive && daemon.tokens.contains(&token)
    }
}
