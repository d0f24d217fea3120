//! The command line, run as a program against a stand-in of a daemon's operators' interface.

mod change;
mod inspect;
mod sample;
mod session;
mod standin;
mod table;
mod usage;

use crate::session::Session;
