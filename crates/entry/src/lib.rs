//! An entry host: it accepts callers' requests and sends them to targets directly.

mod activity;
mod admission;
mod apply;
mod attempt;
pub mod call;
mod caller;
mod candidacy;
mod checkout;
pub mod clock;
mod connection;
mod delivery;
mod exchange;
pub mod exporter;
mod follow;
mod job;
pub mod journal;
mod leadership;
mod lease;
pub mod message;
mod metrics;
mod pool;
pub mod protocol;
mod proxy;
mod ready;
mod relay;
mod replica;
mod reply;
mod run;
mod search;
mod service;
mod session;
pub mod settings;
mod shared;
mod stop;
mod store;

pub use run::{run, run_until};
