//! Daemons: a real node with the parts of a shell that matter to its decisions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ragwortrill_core::{
    event::{Event, Read, Ticket},
    node::Node,
    number::Offset,
    process::Process,
    record::Entry,
    time::Instant,
};

use super::{TICK, World, agenda::Job, clock::Clock, settings::Policy};

/// Number of records kept for peers.
const PAGE: usize = 64;

/// One run of a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ref {
    /// Number of the daemon.
    pub index: usize,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Where a request at a daemon came from.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// From its caller.
    Caller,
    /// From another daemon, which waits with this ticket and token.
    Peer(Ref, Ticket, u64),
}

/// A daemon's node and shell.
pub(super) struct Shell {
    pub(super) node: Node,
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    /// Number of its run, from 0.
    pub(super) run: u64,
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
    /// Forwarded requests by token, with the daemon that each was forwarded to.
    pub(super) forwards: BTreeMap<u64, (Ticket, Ref)>,
    /// Calls that were not answered yet.
    tokens: BTreeSet<u64>,
    rows: Vec<(Offset, Entry)>,
    end: Offset,
    proof: Option<Instant>,
    /// When each target answered a probe last, for entries that hash.
    pub(super) seen: BTreeMap<usize, Instant>,
}

impl Shell {
    pub(super) fn new(node: Node, clock: Clock) -> Self {
        Self {
            incarnation: node.config().process.incarnation,
            run: 0,
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
            seen: BTreeMap::new(),
        }
    }

    pub(super) fn process(&self) -> &Process {
        &self.node.config().process
    }

    /// Notes records that the log service returned.
    pub(super) fn keep(&mut self, read: &Read) {
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

    /// Returns records for a peer that asked at `sent` on its own clock.
    pub(super) fn records(&self, sent: Instant, offset: Offset, now: Instant) -> Read {
        let age = self.proof.map(|proof| now.since(proof));
        let rows = self.rows.iter().filter(|(o, _)| *o > offset);
        Read {
            sent: age.map_or(Instant::default(), |age| sent - age),
            end: self.end,
            rows: rows.take(PAGE).cloned().collect(),
        }
    }
}

impl World {
    /// Returns the current run of a daemon.
    pub fn process(&self, index: usize) -> Ref {
        let incarnation = self.shells[index].incarnation;
        Ref { index, incarnation }
    }

    /// Tells whether a daemon runs.
    pub fn is_alive(&self, index: usize) -> bool {
        self.shells[index].alive
    }

    pub(super) fn begin(&mut self, index: usize) {
        let process = self.process(index);
        match self.settings.policy {
            Policy::Hashing => self.look(process),
            _ => {
                self.read(process);
                self.tick(process);
            }
        }
    }

    fn tick(&mut self, process: Ref) {
        self.handle(process, Event::Tick);
        self.count_owners(process.index);
        self.on_after(TICK, process, move |world| world.tick(process));
    }

    /// Returns a number for a call, which [`World::take`] accepts once.
    pub(super) fn token(&mut self, process: Ref) -> u64 {
        self.tokens += 1;
        self.shells[process.index].tokens.insert(self.tokens);
        self.tokens
    }

    pub(super) fn take(&mut self, process: Ref, token: u64) -> bool {
        let shell = &mut self.shells[process.index];
        shell.forwards.remove(&token);
        shell.incarnation == process.incarnation && shell.tokens.remove(&token)
    }

    pub(super) fn is_pending(&self, process: Ref, token: u64) -> bool {
        let shell = &self.shells[process.index];
        shell.alive && shell.tokens.contains(&token)
    }
}
