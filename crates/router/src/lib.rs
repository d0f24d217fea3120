//! Decisions of an entry host that sends requests to targets itself, free of sockets and clocks.

pub mod assignment;
pub mod breaker;
pub mod choice;
pub mod config;
pub mod crash;
pub mod fleet;
pub mod leader;
pub mod load;
pub mod plan;
pub mod queue;
pub mod rate;
pub mod registration;
pub mod retry;
pub mod share;
pub mod traffic;
pub mod update;
