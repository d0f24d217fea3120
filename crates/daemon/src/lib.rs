//! The router daemon.

mod answers;
mod bootstrap;
mod callers;
mod daemon;
mod decide;
mod drive;
mod exchange;
mod forward;
mod greeting;
mod link;
mod log_service;
mod metrics;
mod operators;
mod peers;
mod probe;
mod problem;
mod recent;
mod registry;
mod requests;
mod resume;
mod run;
mod serve;
mod settings;
mod shell;
mod target;
mod watch;

pub use daemon::{Addresses, Daemon};
pub use ragwortrill_entry::clock::Clock;
pub use run::run;
pub use settings::{Bootstrap, Settings, Snapshots};
