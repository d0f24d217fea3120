//! Bodies of the operators' HTTP interface, which the daemon serves and the command line reads.

mod change;
mod owner;
mod request;
mod status;

pub use self::{
    change::{Audit, Change, ChangeResult, Conflict, Problem, Propagation, Revision, TableVersion},
    owner::{Explanation, Owner},
    request::{Progress, Request},
    status::{Condition, Gauges, Hash, Host, Load, Status, Target},
};
