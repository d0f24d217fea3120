//! Configuration and schedule of a run.

use std::{fmt, time::Duration};

use ragwortrill_core::record::{Record, State};

use super::Fault;
use crate::harness::{DATA_CENTRES, name};

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of daemons, spread over the data centres.
    pub daemons: usize,
    /// Fault to inject, which the results have to show.
    pub fault: Option<Fault>,
    /// Time for which callers send requests.
    pub length: Duration,
    /// Seed of the callers' random choices.
    pub seed: u64,
}

/// Progress of a run.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The operator's change made since the previous update.
    pub change: Option<String>,
    /// Time since the start.
    pub elapsed: Duration,
    /// Requests sent so far.
    pub requests: u64,
}

/// A scheduled change by the operator.
pub struct Change {
    /// Time since the start.
    pub at: Duration,
    /// Record to append to the log.
    pub record: Record,
}

impl Plan {
    /// Returns the operator's changes in chronological order.
    pub(super) fn changes(&self) -> Vec<Change> {
        let target = |state| Record::Target {
            name: name("lookup-0"),
            state,
            after: Default::default(),
        };
        let data_centre = |state| Record::DataCentre {
            name: name(DATA_CENTRES[1]),
            state,
            after: Default::default(),
        };
        let change = |tenths, record| Change {
            at: self.length * tenths / 10,
            record,
        };
        vec![
            change(1, target(State::Out)),
            change(3, target(State::In)),
            change(5, data_centre(State::Out)),
            change(8, data_centre(State::In)),
        ]
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let action = |state: &State| match state {
            State::In => "returned",
            State::Out => "out",
        };
        match &self.record {
            Record::Target { name, state, .. } => write!(f, "target {name} {}", action(state)),
            Record::DataCentre { name, state, .. } => {
                write!(f, "data centre {name} {}", action(state))
            }
            record => write!(f, "{record:?}"),
        }
    }
}
