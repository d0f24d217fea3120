//! Decisions and state machines of the router, free of sockets, clocks and threads.

pub mod contract;
pub mod key;
pub mod lease;
pub mod ledger;
pub mod name;
pub mod number;
pub mod placement;
pub mod process;
pub mod record;
pub mod report;
pub mod request;
pub mod sheet;
pub mod table;
pub mod time;
pub mod times;
