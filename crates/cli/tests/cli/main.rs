//! The command line, run as a program against a stand-in of the operators' interface.

mod change;
mod look;
mod sample;
mod session;
mod standin;
mod table;
mod usage;

use crate::session::Session;
