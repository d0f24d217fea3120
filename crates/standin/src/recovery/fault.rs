//! Faults whose effect is measured.

use ragwortrill_core::{record::State, time::Span};

use crate::world::{LogFault, World};

/// Number of data centres in a world.
const DATA_CENTRE_COUNT: usize = 3;

/// A fault with its duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon and its host are lost.
    DaemonLost,
    /// A daemon is paused for 5 s.
    DaemonPaused,
    /// A target and its host are lost.
    TargetLost,
    /// A target is frozen for 5 s.
    TargetFrozen,
    /// Operators take a data centre out of service.
    DataCentreOut,
    /// A data centre is lost with its daemons and targets.
    DataCentreLost,
    /// The log service is down for 60 s.
    LogDown,
    /// The log service is down for 60 s and a daemon is lost 5 s later.
    LogDownDaemonLost,
    /// The two standbys of a contract have no link for 10 s.
    StandbysCut,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 9] = [
        Self::DaemonLost,
        Self::DaemonPaused,
        Self::TargetLost,
        Self::TargetFrozen,
        Self::DataCentreOut,
        Self::DataCentreLost,
        Self::LogDown,
        Self::LogDownDaemonLost,
        Self::StandbysCut,
    ];

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::DaemonLost => "daemon lost",
            Self::DaemonPaused => "daemon paused 5 s",
            Self::TargetLost => "target lost",
            Self::TargetFrozen => "target frozen 5 s",
            Self::DataCentreOut => "data centre out",
            Self::DataCentreLost => "data centre lost",
            Self::LogDown => "log down 60 s",
            Self::LogDownDaemonLost => "log down 60 s, daemon lost",
            Self::StandbysCut => "two standbys cut off",
        }
    }

    /// Returns the time after the fault for which its effect is observed.
    pub fn observation_time(self) -> Span {
        match self {
            Self::LogDown | Self::LogDownDaemonLost => Span::from_secs(75),
            Self::StandbysCut => Span::from_secs(20),
            _ => Span::from_secs(12),
        }
    }

    /// Injects the fault now and schedules its end.
    pub fn begin(self, world: &mut World, seed: u64) {
        let daemon = seed as usize % world.daemon_count();
        let target = seed as usize % world.targets.len();
        match self {
            Self::DaemonLost => world.lose_host(daemon),
            Self::DaemonPaused => {
                world.pause(daemon);
                world.schedule(Span::from_secs(5), move |world| world.resume(daemon));
            }
            Self::TargetLost => world.lose_target(target),
            Self::TargetFrozen => {
                world.freeze_target(target);
                world.schedule(Span::from_secs(5), move |world| world.resume_target(target));
            }
            Self::DataCentreOut => take_data_centre_out(world, seed),
            Self::DataCentreLost => lose_data_centre(world, seed as usize % DATA_CENTRE_COUNT),
            Self::LogDown => take_log_down(world),
            Self::LogDownDaemonLost => {
                take_log_down(world);
                world.schedule(Span::from_secs(5), move |world| world.lose_host(daemon));
            }
            Self::StandbysCut => isolate_standbys(world, target),
        }
    }
}

fn take_log_down(world: &mut World) {
    world.set_log_fault(LogFault::Down);
    world.schedule(Span::from_secs(60), |world| {
        world.set_log_fault(LogFault::None)
    });
}

fn take_data_centre_out(world: &mut World, seed: u64) {
    let data_centres = &world.log.ledger().table().data_centres;
    let name = data_centres.keys().nth(seed as usize % data_centres.len());
    if let Some(name) = name.cloned() {
        world.set_data_centre(2, name.as_str(), State::Out);
    }
}

fn lose_data_centre(world: &mut World, data_centre: usize) {
    for daemon in (0..world.daemon_count()).filter(|i| i % DATA_CENTRE_COUNT == data_centre) {
        world.lose_host(daemon);
    }
    for target in (0..world.targets.len()).filter(|i| i % DATA_CENTRE_COUNT == data_centre) {
        world.lose_target(target);
    }
}

fn isolate_standbys(world: &mut World, target: usize) {
    let contracts = world.log.ledger().contracts();
    let contract = contracts.get(&world.targets[target].name);
    let standbys = contract.map(|contract| contract.standbys.clone());
    let is_standby = |world: &World, index: &usize| {
        let process = &world.node(*index).config().process;
        standbys.iter().flatten().any(|s| s == process)
    };
    let daemons = (0..world.daemon_count()).filter(|index| is_standby(world, index));
    for daemon in daemons.collect::<Vec<_>>() {
        world.isolate(daemon);
    }
    world.schedule(Span::from_secs(10), |world| world.net.restore_all());
}
