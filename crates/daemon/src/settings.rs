//! Settings of a daemon.
//!
//! | Field | Values | Default |
//! |---|---|---|
//! | `host` | name | required |
//! | `data_centre` | name | required |
//! | `callers`, `peers`, `operators` | IP number and port to listen on, different for each | required |
//! | `log` | IP number and port of the platform's log service | required |
//! | `hosts` | IP number and port of the platform's host list | none |
//! | `seeds` | list of other daemons' `peers` addresses | empty |
//! | `secret_file` | file with the secret that all daemons share, 16 bytes or more | required |
//! | `operator_token_file` | file with the token for changes, 16 bytes or more | required |
//! | `workers` | 1 to 64 | 2 |
//! | `drain_limit` | 1s to 1h | 60s |
//! | `log_retention` | 1m to 8760h | 24h |
//! | `snapshot_records` | 100 to 1000000 | 10000 |
//! | `snapshot_percent` | 1 to 90 | 33 |
//! | `times` | object with the time limits of the protocol | the defaults of `Times` |

mod column;
mod reader;
mod secret;
mod times;

use std::{cell::RefCell, net::SocketAddr, path::Path};

use ragwortrill_core::{
    name,
    snapshot::Policy,
    table_file::{self, Fault},
    time::Span,
    times::Times,
};

/// Settings of a daemon, read from a JSON file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: name::Host,
    /// Data centre that the host is in.
    pub data_centre: name::DataCentre,
    /// Address for callers' HTTP requests.
    pub callers: SocketAddr,
    /// Address that accepts links from other daemons.
    pub peers: SocketAddr,
    /// Address for operators: health, readiness, metrics, status and changes.
    pub operators: SocketAddr,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Secret that the daemons of a system share.
    pub secret: String,
    /// Bearer token that operators' changes need.
    pub operator_token: String,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum time that a stopping daemon waits for requests to end.
    pub drain_limit: Span,
    /// Conditions for writing snapshots.
    pub snapshots: Snapshots,
    /// Other daemons, which send the state if the log service is down at the start.
    pub bootstrap: Bootstrap,
    /// Time limits of the protocol, the same at all daemons.
    pub times: Times,
}

/// Conditions for writing snapshots of the shared state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshots {
    /// Number of records after which a snapshot is due.
    pub records: u64,
    /// Time for which the log service keeps a record.
    pub retention: Span,
    /// Percentage of the retention after which a snapshot is due.
    pub percent: u32,
}

/// Sources of other daemons' addresses before the log has been read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bootstrap {
    /// Address of the platform's host list.
    pub hosts: Option<SocketAddr>,
    /// Addresses at which some daemons accept links.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Snapshots {
    fn default() -> Self {
        Self {
            records: 10_000,
            retention: Span::from_secs(86_400),
            percent: 33,
        }
    }
}

impl Snapshots {
    /// Returns the conditions as the node's policy.
    pub(crate) fn policy(&self) -> Policy {
        Policy {
            records: self.records,
            interval: self.retention.scale(u64::from(self.percent), 100),
        }
    }
}

impl Settings {
    /// Parses a file. Paths in it are relative to `directory`. An error lists all faults.
    pub fn parse(text: &str, directory: &Path) -> Result<Self, Vec<Fault>> {
        let faults = RefCell::default();
        let value = table_file::parse_json(text, &faults);
        let settings = value.and_then(|value| reader::read(&value, directory, &faults));
        let faults = faults.into_inner();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}
