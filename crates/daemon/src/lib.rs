//! The router daemon.

mod bootstrap;
mod callers;
mod closing;
mod control;
mod daemon;
mod dispatch;
mod exchange;
mod forward;
mod handshake;
mod history;
mod link;
mod log_service;
mod metrics;
mod monitor;
mod node_loop;
mod operators;
mod peers;
mod problem;
mod progress;
mod recent;
mod registry;
mod response_cache;
mod resume;
mod run;
mod serve;
mod settings;
mod shared;
mod shutdown;
mod target;

pub use daemon::{Addresses, Daemon};
pub use ragwortrill_entry::clock::Clock;
pub use run::run;
pub use settings::{Bootstrap, Settings, Snapshots};
