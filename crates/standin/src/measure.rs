//! Measurements of the core's decisions under open-loop load, in virtual time.

mod actions;
mod agenda;
mod control;
pub mod deployment;
mod ending;
mod load;
mod moves;
pub mod outcome;
pub mod policy;
pub mod report;
mod routing;
pub mod scenario;
mod serving;
mod simulation;

pub use simulation::run;
