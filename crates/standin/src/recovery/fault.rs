//! The faults that are measured.

use ragwortrill_core::{record::State, time::Span};

use crate::world::{Outage, World};

/// Number of data centres of a world.
const CENTRES: usize = 3;

/// A fault at one moment, and its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon is lost with its host.
    DaemonLost,
    /// A daemon is paused for 5 s.
    DaemonPaused,
    /// A target is lost.
    TargetLost,
    /// A target is frozen for 5 s.
    TargetFrozen,
    /// Operators take a data centre out.
    CentreOut,
    /// A data centre is lost with its daemons and targets.
    CentreLost,
    /// The log service is down for 60 s.
    LogDown,
    /// The log service is down for 60 s and a daemon is lost 5 s later.
    LogDownDaemonLost,
    /// The two standbys of a contract are cut off from everything for 10 s.
    StandbysCut,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 9] = [
        Self::DaemonLost,
        Self::DaemonPaused,
        Self::TargetLost,
        Self::TargetFrozen,
        Self::CentreOut,
        Self::CentreLost,
        Self::LogDown,
        Self::LogDownDaemonLost,
        Self::StandbysCut,
    ];

    /// Returns the name that reports show.
    pub fn name(self) -> &'static str {
        match self {
            Self::DaemonLost => "daemon lost",
            Self::DaemonPaused => "daemon paused 5 s",
            Self::TargetLost => "target lost",
            Self::TargetFrozen => "target frozen 5 s",
            Self::CentreOut => "data centre out",
            Self::CentreLost => "data centre lost",
            Self::LogDown => "log down 60 s",
            Self::LogDownDaemonLost => "log down 60 s, daemon lost",
            Self::StandbysCut => "two standbys cut off",
        }
    }

    /// Returns the time for which the system is watched after the fault.
    pub fn watched(self) -> Span {
        match self {
            Self::LogDown | Self::LogDownDaemonLost => Span::from_secs(75),
            Self::StandbysCut => Span::from_secs(20),
            _ => Span::from_secs(12),
        }
    }

    /// Begins the fault now and plans its end.
    pub fn begin(self, world: &mut World, seed: u64) {
        let daemon = seed as usize % world.daemons();
        let target = seed as usize % world.sites.len();
        match self {
            Self::DaemonLost => world.lose(daemon),
            Self::DaemonPaused => {
                world.pause(daemon);
                world.after(Span::from_secs(5), move |world| world.resume(daemon));
            }
            Self::TargetLost => world.lose_target(target),
            Self::TargetFrozen => {
                world.freeze(target);
                world.after(Span::from_secs(5), move |world| world.thaw(target));
            }
            Self::CentreOut => take_out(world, seed),
            Self::CentreLost => lose_centre(world, seed as usize % CENTRES),
            Self::LogDown => fail_log(world),
            Self::LogDownDaemonLost => {
                fail_log(world);
                world.after(Span::from_secs(5), move |world| world.lose(daemon));
            }
            Self::StandbysCut => cut_standbys(world, target),
        }
    }
}

fn fail_log(world: &mut World) {
    world.fail_log(Outage::Down);
    world.after(Span::from_secs(60), |world| world.fail_log(Outage::None));
}

fn take_out(world: &mut World, seed: u64) {
    let centres = &world.log.ledger().table().data_centres;
    let name = centres.keys().nth(seed as usize % centres.len());
    if let Some(name) = name.cloned() {
        world.set_data_centre(2, name.as_str(), State::Out);
    }
}

fn lose_centre(world: &mut World, centre: usize) {
    for daemon in (0..world.daemons()).filter(|i| i % CENTRES == centre) {
        world.lose(daemon);
    }
    for target in (0..world.sites.len()).filter(|i| i % CENTRES == centre) {
        world.lose_target(target);
    }
}

fn cut_standbys(world: &mut World, target: usize) {
    let contracts = world.log.ledger().contracts();
    let contract = contracts.get(&world.sites[target].name);
    let standbys = contract.map(|contract| contract.standbys.clone());
    let is_standby = |world: &World, index: &usize| {
        let process = &world.node(*index).config().process;
        standbys.iter().flatten().any(|s| s == process)
    };
    let daemons = (0..world.daemons()).filter(|index| is_standby(world, index));
    for daemon in daemons.collect::<Vec<_>>() {
        world.isolate(daemon);
    }
    world.after(Span::from_secs(10), |world| world.net.join_all());
}
