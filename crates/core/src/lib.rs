//! Decisions and state machines of the router, free of sockets, clocks and threads.

pub mod admission;
pub mod balance;
pub mod choice;
pub mod contract;
mod estimate;
pub mod health;
pub mod hint;
pub mod key;
mod lane;
pub mod latency;
pub mod lease;
pub mod ledger;
pub mod name;
pub mod number;
mod pace;
pub mod placement;
pub mod process;
pub mod quarantine;
pub mod ramp;
pub mod record;
pub mod request;
pub mod retry;
pub mod sketch;
pub mod table;
mod tally;
pub mod time;
pub mod times;
