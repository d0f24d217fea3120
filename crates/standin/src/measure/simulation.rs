//! State and event loop of a run.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    admission::{self, Decision, Queue},
    balance::{self, Planner},
    choice::{Candidate, Choice, Hedge},
    health::{self, Health},
    ledger::Assignment,
    name, placement,
    quarantine::Quarantine,
    record::Share,
    request::{Fingerprint, Id},
    retry::Budget,
    sketch::Sketch,
    time::{Instant, Span},
};

use super::{
    agenda::{Agenda, Event},
    deployment::{Deployment, Service},
    load::{Load, Spec},
    outcome::Outcome,
    policy::Policy,
    scenario::Scenario,
};
use crate::virtual_target::{self, VirtualTarget};

/// Interval of probes, checks and plans, the same as the core's default.
pub(crate) const TICK_INTERVAL: Span = Span::from_millis(250);
/// Interval at which waiting requests are checked for expiry and availability is sampled.
pub(crate) const SAMPLE_INTERVAL: Span = Span::from_millis(25);
/// Time in which a cold target becomes warm.
const WARM_UP: Span = Span::from_secs(20);
/// Age of the load in targets' reports.
const REPORT_AGE: Span = Span::from_millis(1_500);
/// Maximum number of retries, relative to requests.
const MAX_RETRY_PERCENT: u32 = 10;
/// Maximum number of hedges, relative to requests.
const MAX_HEDGE_PERCENT: u32 = 5;

/// A target, with the state that its holder keeps about it.
pub(crate) struct Holder {
    pub(crate) name: name::Target,
    pub(crate) data_centre: usize,
    pub(crate) target: VirtualTarget,
    pub(crate) queue: Queue,
    pub(crate) health: Health,
    pub(crate) sketch: Sketch,
    /// Copies that are running or streaming on the target.
    pub(crate) open: BTreeSet<Id>,
    /// Number of connections to the target, which stay open for reuse until it crashes.
    pub(crate) open_connections: usize,
    pub(crate) out_since: Option<Instant>,
    pub(crate) silent_since: Option<Instant>,
    pub(crate) grant_expired: bool,
    pub(crate) reported_load_percent: u32,
}

/// State of a copy of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CopyState {
    InTransit,
    Queued(usize),
    Running(usize, Instant),
}

/// A request and its copies.
pub(crate) struct Request {
    pub(crate) spec: Spec,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) poison: bool,
    pub(crate) copies: BTreeMap<Id, CopyState>,
    pub(crate) attempts: u64,
    pub(crate) runs: u32,
    pub(crate) last_target: Option<usize>,
    /// True after the caller has received an answer, a refusal or a timeout.
    pub(crate) ended: bool,
}

/// A share that is being moved to another target.
pub(crate) struct Moving {
    pub(crate) from: usize,
    pub(crate) appended: bool,
    pub(crate) parked: Vec<u64>,
}

/// Simulation of one service.
pub(crate) struct Simulation<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) service: &'a Service,
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: &'a Policy,
    pub(crate) load: Load<'a>,
    pub(crate) agenda: Agenda,
    pub(crate) holders: Vec<Holder>,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) last_number: u64,
    pub(crate) assignment: Assignment,
    pub(crate) planned: Assignment,
    pub(crate) planner: Planner,
    pub(crate) moving: BTreeMap<Share, Moving>,
    /// Planned moves waiting until their share has no request, with the old target and the start of
    /// the wait.
    pub(crate) pending_moves: BTreeMap<Share, (usize, Instant)>,
    pub(crate) slice_counts: Vec<u64>,
    pub(crate) slice_loads: Vec<u64>,
    pub(crate) forecast: Option<(Instant, Vec<u64>)>,
    pub(crate) views: Vec<Vec<Candidate>>,
    pub(crate) choice: Choice,
    pub(crate) round_robin_position: usize,
    pub(crate) hedge: Hedge,
    pub(crate) budget: Budget,
    pub(crate) quarantine: Quarantine,
    pub(crate) ticks: u64,
    pub(crate) seed: u64,
    pub(crate) decisions: Vec<(usize, Vec<Decision>)>,
    pub(crate) outcome: Outcome,
}

/// Fingerprint of the requests that crash their targets.
pub(crate) const POISON_FINGERPRINT: Fingerprint = Fingerprint(u64::MAX);

/// Simulates a scenario for each service of a deployment.
pub fn run(deployment: &Deployment, scenario: &str, policy: &Policy, seed: u64) -> Vec<Outcome> {
    let services = deployment.services.iter().enumerate();
    let run = |(index, service): (usize, &Service)| {
        let seed = seed.wrapping_mul(1_000) + index as u64;
        let scenario = Scenario::new(scenario, service.targets, seed)?;
        Some(Simulation::new(deployment, service, &scenario, policy, seed).run())
    };
    services.filter_map(run).collect()
}

impl<'a> Simulation<'a> {
    fn new(
        deployment: &'a Deployment,
        service: &'a Service,
        scenario: &'a Scenario,
        policy: &'a Policy,
        seed: u64,
    ) -> Self {
        let holders: Vec<Holder> = (0..service.targets)
            .map(|index| holder(deployment, service, policy, index))
            .collect();
        let weights = holders.iter().map(|h| (h.name.clone(), 100)).collect();
        let assignment = Assignment {
            slices: placement::distribute(service.slices, &weights),
            keys: BTreeMap::new(),
        };
        Self {
            load: Load::new(deployment, service, scenario, seed),
            agenda: Agenda::default(),
            requests: BTreeMap::new(),
            last_number: 0,
            planned: assignment.clone(),
            assignment,
            planner: Planner::new(plan_settings(service, policy)),
            moving: BTreeMap::new(),
            pending_moves: BTreeMap::new(),
            slice_counts: vec![0; service.slices as usize],
            slice_loads: vec![0; service.slices as usize],
            forecast: None,
            views: vec![Vec::new(); deployment.entries],
            choice: Choice::new(seed ^ 0xc401),
            round_robin_position: 0,
            hedge: Hedge::new(MAX_HEDGE_PERCENT),
            budget: Budget::new(MAX_RETRY_PERCENT, 100),
            quarantine: Quarantine::default(),
            ticks: 0,
            seed,
            decisions: Vec::new(),
            outcome: Outcome::new(&service.name),
            holders,
            deployment,
            service,
            scenario,
            policy,
        }
    }

    fn run(mut self) -> Outcome {
        let start = Instant::default();
        self.agenda.add(start, Event::Tick);
        self.agenda.add(start, Event::Sample);
        self.agenda.add(start + SAMPLE_INTERVAL, Event::Arrive);
        for (index, (at, _)) in self.scenario.actions.iter().enumerate() {
            self.agenda.add(*at, Event::Action(index));
        }
        for at in &self.scenario.poison {
            self.agenda.add(*at, Event::Poison);
        }
        while let Some((now, event)) = self.agenda.next() {
            self.handle(now, event);
            self.apply_decisions(now);
        }
        self.finish()
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Deliver(id, target) => self.deliver(now, id, target),
            Event::Route(number) => self.route(now, number),
            Event::Done(id, target) => self.complete_work(now, id, target),
            Event::Streamed(id, target) => self.streamed(now, id, target),
            Event::Hedge(number) => self.send_hedge(now, number),
            Event::Deadline(number) => self.pass_deadline(now, number),
            Event::Moved(share) => self.commit(now, share),
            Event::Sample => self.sample(now),
            Event::Tick => self.tick(now),
            Event::Action(index) => self.apply(now, self.scenario.actions[index].1),
            Event::Poison => self.send_poison(now),
        }
    }

    /// Returns whether requests still arrive. Afterwards the run only serves the remaining ones.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        now.0 < self.scenario.length.0
    }

    pub(crate) fn capacity_of_window(&self) -> f64 {
        self.service.capacity() * super::outcome::WINDOW.0 as f64 / 1e6
    }

    pub(crate) fn hop(&self, entry: usize, target: usize) -> Span {
        let count = self.deployment.data_centres.len();
        match entry % count == self.holders[target].data_centre {
            true => self.deployment.within,
            false => self.deployment.between,
        }
    }

    fn finish(mut self) -> Outcome {
        let outcome = &mut self.outcome;
        for holder in &self.holders {
            let counts = holder.target.counts;
            outcome.slot_breaches += counts.slot_breaches;
            outcome.ramp_breaches += counts.ramp_breaches;
            outcome.shed += counts.shed;
        }
        self.outcome
    }
}

fn holder(deployment: &Deployment, service: &Service, policy: &Policy, index: usize) -> Holder {
    let now = Instant::default();
    let mut health = Health::new(
        now,
        health::Settings {
            slots: service.slots,
            slow_start: WARM_UP,
            ..health::Settings::default()
        },
    );
    health.assume_warm();
    let name = format!("{}-{index:02}", service.name);
    Holder {
        name: name.parse().expect("the deployment has valid names"),
        data_centre: index % deployment.data_centres.len(),
        target: VirtualTarget::new(virtual_target::Settings {
            slots: service.slots,
            connections: service.connections,
            warm_up: WARM_UP,
            lag: REPORT_AGE,
        }),
        queue: Queue::new(admission::Settings {
            slots: service.slots + policy.excess_slots,
            connections: service.connections,
            queue: service.queue,
            reserved_percent: service.reserved_percent,
        }),
        health,
        sketch: Sketch::new(64),
        open: BTreeSet::new(),
        open_connections: 0,
        out_since: None,
        silent_since: None,
        grant_expired: false,
        reported_load_percent: 0,
    }
}

fn plan_settings(service: &Service, policy: &Policy) -> balance::Settings {
    let mut settings = balance::Settings {
        moves_per_minute: service.slices * 2 / 5,
        ..balance::Settings::default()
    };
    if !policy.balance {
        settings.moves_per_minute = 0;
        settings.trigger_percent = u64::from(u32::MAX);
    }
    if !policy.pace {
        settings.max_received_percent = 100_000;
        settings.drain_time = Span::ZERO;
        settings.moves_per_minute *= 100;
    }
    settings
}
