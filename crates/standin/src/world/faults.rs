//! Faults of daemons.

use ragwortrill_core::{
    event::{Event, Finish},
    time::Span,
};

use super::{
    Answer, End, World,
    process::{Origin, Shell},
};

/// Time after which a peer notices that a connection was reset.
const RESET: Span = Span::from_millis(2);

impl World {
    /// Stops a daemon's process until it is resumed.
    pub fn pause(&mut self, index: usize) {
        self.shells[index].paused = true;
        self.shells[index].paused_at = self.now;
    }

    /// Resumes a paused daemon, which handles at once what reached it meanwhile.
    pub fn resume(&mut self, index: usize) {
        self.shells[index].paused = false;
        let process = self.process(index);
        for job in std::mem::take(&mut self.shells[index].inbox) {
            self.on(process, job);
        }
    }

    /// Ends a daemon with its host, so that no connection is reset.
    pub fn lose(&mut self, index: usize) {
        self.end(index, false);
    }

    /// Ends a daemon's process, so that its connections are reset.
    pub fn kill(&mut self, index: usize) {
        self.end(index, true);
    }

    pub(super) fn end(&mut self, index: usize, reset: bool) {
        let ended = self.process(index);
        let shell = &mut self.shells[index];
        shell.alive = false;
        shell.inbox.clear();
        let tickets = std::mem::take(&mut shell.tickets);
        for (call, origin) in tickets.into_values() {
            if matches!(origin, Origin::Caller) {
                self.tell_caller(call, Answer::Broken);
            }
        }
        for peer in (0..self.shells.len()).filter(|_| reset) {
            let process = self.process(peer);
            for (token, (ticket, to)) in self.shells[peer].forwards.clone() {
                if to == ended {
                    self.on_after(RESET, process, move |world| {
                        world.finish(process, ticket, token, Finish::LinkBroken);
                    });
                }
            }
        }
    }

    /// Starts a daemon again on its host, as a new process.
    pub fn restart(&mut self, index: usize) {
        let run = self.shells[index].run + 1;
        let node = self.settings.node(index, run);
        let clock = self.settings.clock(&mut self.random);
        self.shells[index] = Shell::new(node, clock);
        self.shells[index].run = run;
        self.begin(index);
    }

    /// Asks a daemon to stop.
    pub fn stop(&mut self, index: usize) {
        let process = self.process(index);
        self.on(
            process,
            Box::new(move |world| world.handle(process, Event::Stop)),
        );
    }

    /// Cuts a daemon off from all other daemons, the log and all targets.
    pub fn isolate(&mut self, index: usize) {
        for end in self.ends() {
            if end != End::Daemon(index) {
                self.net.cut(End::Daemon(index), end);
            }
        }
    }

    /// Returns all ends of links.
    pub fn ends(&self) -> Vec<End> {
        let daemons = (0..self.shells.len()).map(End::Daemon);
        let targets = (0..self.sites.len()).map(End::Target);
        daemons.chain(targets).chain([End::Log]).collect()
    }
}
