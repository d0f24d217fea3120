//! Faults, stops and restarts of daemons.

use ragwortrill_core::{
    event::{Event, Finish},
    time::Span,
};

use super::{
    Answer, Endpoint, World,
    process::{Daemon, Origin},
};

/// Time until a peer detects that a connection was reset.
const RESET_DELAY: Span = Span::from_millis(2);

impl World {
    /// Suspends a daemon's process until it is resumed.
    pub fn pause(&mut self, index: usize) {
        self.daemons[index].paused = true;
        self.daemons[index].paused_at = self.now;
    }

    /// Resumes a paused daemon, which at once handles everything that arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        self.daemons[index].paused = false;
        let process = self.process(index);
        for job in std::mem::take(&mut self.daemons[index].inbox) {
            self.run_on(process, job);
        }
    }

    /// Ends a daemon together with its host, which resets no connection.
    pub fn lose_host(&mut self, index: usize) {
        self.end(index, false);
    }

    /// Ends a daemon's process, and its host resets the connections.
    pub fn kill(&mut self, index: usize) {
        self.end(index, true);
    }

    pub(super) fn end(&mut self, index: usize, reset: bool) {
        let ended = self.process(index);
        let daemon = &mut self.daemons[index];
        daemon.alive = false;
        daemon.inbox.clear();
        let tickets = std::mem::take(&mut daemon.tickets);
        for (call, origin) in tickets.into_values() {
            if matches!(origin, Origin::Caller) {
                self.answer_caller(call, Answer::Broken);
            }
        }
        for peer in (0..self.daemons.len()).filter(|_| reset) {
            let process = self.process(peer);
            for (token, (ticket, to)) in self.daemons[peer].forwards.clone() {
                if to == ended {
                    self.schedule_on(RESET_DELAY, process, move |world| {
                        world.finish(process, ticket, token, Finish::LinkBroken);
                    });
                }
            }
        }
    }

    /// Starts a new process of an ended daemon.
    pub fn restart(&mut self, index: usize) {
        let restarts = self.daemons[index].restarts + 1;
        let node = self.settings.node(index, restarts);
        let clock = self.settings.clock(&mut self.random);
        self.daemons[index] = Daemon::new(node, clock);
        self.daemons[index].restarts = restarts;
        self.start_daemon(index);
    }

    /// Begins a graceful shutdown of a daemon.
    pub fn stop(&mut self, index: usize) {
        let process = self.process(index);
        self.run_on(
            process,
            Box::new(move |world| world.handle(process, Event::Stop)),
        );
    }

    /// Cuts a daemon's links to all other daemons, the log and all targets.
    pub fn isolate(&mut self, index: usize) {
        for end in self.endpoints() {
            if end != Endpoint::Daemon(index) {
                self.net.cut(Endpoint::Daemon(index), end);
            }
        }
    }

    /// Returns all endpoints of links.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let daemons = (0..self.daemons.len()).map(Endpoint::Daemon);
        let targets = (0..self.targets.len()).map(Endpoint::Target);
        daemons.chain(targets).chain([Endpoint::Log]).collect()
    }
}
