//! Reports on a node's state, for operators and metrics.

mod key;

use crate::{
    health, ledger, name,
    node::Node,
    number::Offset,
    process::Process,
    record::State,
    report::{Condition, Gauges, Hash, Host, Load, Propagation, Status, Target},
    table,
    time::{Instant, Span},
};

impl Node {
    /// Returns the status of the system as this node sees it.
    pub fn status(&self, now: Instant) -> Status {
        let ledger = self.ledger();
        let proof = self.ownership().lease().proof();
        let names = ledger.table().data_centres.keys();
        Status {
            process: self.config().process.clone(),
            data_centre: self.config().data_centre.clone(),
            offset: ledger.offset(),
            hash: Hash(ledger.hash()),
            version: ledger.version(),
            proof_age: proof.map(|proof| now.since(proof)),
            data_centres: names.map(|n| (n.clone(), ledger.data_centre(n))).collect(),
            hosts: self.host_reports(now),
            targets: self.target_reports(),
            quarantine: ledger.quarantine().keys().copied().collect(),
            warnings: self.warnings(now),
        }
    }

    fn host_reports(&self, now: Instant) -> Vec<Host> {
        let own = &self.config().process;
        let peers = self.ledger().processes().values();
        let host = |peer: &ledger::Peer| Host {
            process: peer.process.clone(),
            data_centre: peer.data_centre.clone(),
            state: self.ledger().host(&peer.process.host),
            alive: peer.process == *own || self.is_alive(&peer.process, now),
            offset: match peer.process == *own {
                true => Some(self.ledger().offset()),
                false => self.agreement().offset(&peer.process),
            },
            differs: self.agreement().differing().contains(&peer.process),
        };
        peers.map(host).collect()
    }

    fn is_alive(&self, process: &Process, now: Instant) -> bool {
        self.is_responsive(process, now) && !self.ledger().lost().contains(process)
    }

    fn target_reports(&self) -> Vec<Target> {
        let services = self.ledger().table().services.iter();
        let rows =
            services.flat_map(|(service, row)| row.targets.iter().map(move |t| (service, t)));
        let target =
            |(service, (name, row)): (&name::Service, (&name::Target, &table::Target))| Target {
                name: name.clone(),
                service: service.clone(),
                data_centre: row.data_centre.clone(),
                state: self.ledger().target(name),
                contract: self.ledger().contracts().get(name).cloned(),
                load: self.target_load(name),
            };
        rows.map(target).collect()
    }

    fn target_load(&self, target: &name::Target) -> Option<Load> {
        let state = self.target_states.get(target)?;
        Some(Load {
            condition: match state.health.state() {
                health::State::Cold => Condition::Cold,
                health::State::Frozen => Condition::Frozen,
                health::State::Lost => Condition::Lost,
                health::State::Slow => Condition::Slow,
                health::State::Warm => Condition::Serving,
            },
            running: state.queue.running() as u32,
            queued: state.queue.waiting() as u32,
            late: state.late_answers,
        })
    }

    /// Returns which live daemons have not applied a record yet, by the latest heartbeats that this
    /// node received.
    pub fn propagation(&self, offset: Offset, now: Instant) -> Propagation {
        let own = &self.config().process;
        let peers = self.ledger().processes().values().map(|peer| &peer.process);
        let live = peers.filter(|p| *p != own && self.is_alive(p, now));
        let behind = live.filter(|p| self.agreement().offset(p) < Some(offset));
        let behind: Vec<Process> = behind.cloned().collect();
        match behind.is_empty() {
            true => Propagation::Everywhere,
            false => Propagation::Waiting(behind),
        }
    }

    /// Lists the conditions that need an operator, each with its remedy.
    fn warnings(&self, now: Instant) -> Vec<String> {
        let mut warnings = Vec::new();
        let proof = self.ownership().lease().proof();
        match proof.map(|proof| now.since(proof)) {
            None => warnings.push(
                "the log service has not answered since the start; check its address".to_owned(),
            ),
            Some(age) if age >= self.config().times.lease => warnings.push(format!(
                "the log service has not answered for {} ms; restore it: changes, takeovers and \
                 non-idempotent requests wait for it",
                age.as_millis()
            )),
            Some(_) => {}
        }
        warnings.extend(self.agreement().differing().iter().map(|process| {
            format!(
                "{process} has another state at the same offset; restart one of the two daemons"
            )
        }));
        warnings.extend(self.unheard_peers(now).map(|process| {
            format!(
                "{process} is not heard; check its host, and run 'ragwortrill host lost {}' if it \
                 has ended for good",
                process.host
            )
        }));
        warnings.extend(self.unheld_targets().map(|target| {
            format!("{target} has no holder; check that a daemon in service reads the log")
        }));
        let lost = self.lost_targets();
        warnings.extend(
            lost.map(|target| format!("{target} does not answer probes; repair it or drain it")),
        );
        warnings
    }

    /// Returns the values of the node's gauges.
    pub fn gauges(&self, now: Instant) -> Gauges {
        let proof = self.ownership().lease().proof();
        Gauges {
            proof_age: proof.map(|proof| now.since(proof)),
            differing_peers: self.agreement().differing().len() as u64,
            unheard_peers: self.unheard_peers(now).count() as u64,
            unheld_targets: self.unheld_targets().count() as u64,
            lost_targets: self.lost_targets().count() as u64,
            leaving_targets: self.leaving_targets().count() as u64,
            paused_targets: self.paused_targets(now).count() as u64,
            quarantined: self.ledger().quarantine().len() as u64,
            held_targets: self.ownership().held().len() as u64,
        }
    }

    /// Returns whether this process can serve requests: it has a table, is not stopping, and reads
    /// the log or receives heartbeats of a live peer.
    pub fn is_ready(&self, now: Instant) -> bool {
        let mut peers = self.ledger().processes().values();
        self.ledger().version().0 > 0
            && self.stopping.is_none()
            && (self.is_log_available(now) || peers.any(|peer| self.is_alive(&peer.process, now)))
    }

    fn unheard_peers(&self, now: Instant) -> impl Iterator<Item = &Process> {
        let peers = self.ledger().processes().values().map(|peer| &peer.process);
        peers.filter(move |process| {
            **process != self.config().process
                && !self.is_responsive(process, now)
                && !self.ledger().lost().contains(process)
        })
    }

    fn unheld_targets(&self) -> impl Iterator<Item = &name::Target> {
        let services = self.ledger().table().services.values();
        let targets = services.flat_map(|row| row.targets.keys());
        targets.filter(|target| {
            let contract = self.ledger().contracts().get(*target);
            contract.is_none_or(|contract| contract.released.is_some())
        })
    }

    /// Returns the held targets that have stated that they leave.
    pub fn leaving_targets(&self) -> impl Iterator<Item = &name::Target> {
        let held = self.target_states.keys();
        held.filter(|target| self.is_leaving(target))
    }

    /// Returns the held targets that want nothing for a time, each with what is left of it.
    pub fn paused_targets(&self, now: Instant) -> impl Iterator<Item = (&name::Target, Span)> {
        let held = self.target_states.iter();
        held.filter_map(move |(target, state)| Some((target, state.queue.pause_left(now)?)))
    }

    /// Returns the held targets that operators have in service and that do not answer probes.
    fn lost_targets(&self) -> impl Iterator<Item = &name::Target> {
        let states = self.target_states.iter();
        let lost = states
            .filter(|(target, state)| state.is_lost() && self.ledger().target(target) == State::In);
        lost.map(|(target, _)| target)
    }
}
