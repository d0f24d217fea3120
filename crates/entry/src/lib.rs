//! An entry host that answers callers and sends their requests to targets itself.

mod apply;
mod attempt;
pub mod call;
mod caller;
mod candidacy;
pub mod clock;
mod connection;
mod exchange;
pub mod exporter;
mod follow;
mod job;
pub mod journal;
mod leadership;
mod lease;
mod link;
pub mod message;
mod metrics;
mod mirror;
mod place;
mod pool;
pub mod protocol;
mod proxy;
mod ready;

mod relay;
mod reply;
mod run;
mod search;
mod service;
pub mod settings;
mod shared;
mod store;

pub use run::{run, run_until};
