//! Bodies of the operators' HTTP interface, which the daemon serves and the command line reads.

mod change;
mod owner;
mod request;
mod status;

pub use self::{
    change::{Audit, Change, Conflict, Edition, Force, Outcome, Problem, Revision},
    owner::{Explanation, Owner},
    request::{Progress, Request},
    status::{Condition, Hash, Health, Host, Load, Status, Target},
};
