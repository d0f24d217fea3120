//! Decisions and state machines of the router, free of sockets, clocks and threads.

pub mod action;
pub mod contract;
mod control;
mod desk;
pub mod event;
mod handover;
pub mod key;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod name;
pub mod node;
pub mod number;
pub mod ownership;
pub mod placement;
pub mod process;
pub mod record;
pub mod report;
pub mod request;
pub mod sheet;
pub mod table;
pub mod time;
pub mod times;
mod traffic;
