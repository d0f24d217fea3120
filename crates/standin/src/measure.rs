//! Measurements of the core's decisions in virtual time, under open-loop load.

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
mod world;

pub use world::run;
