//! Validation of operators' changes before they are appended to the log.

use crate::{
    archive::Decision,
    name,
    node::Node,
    number::Version,
    record::Record,
    report::{Change, Conflict},
    table::Table,
    table_file::suggest,
};

/// Result of the validation of an operator's change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Validity {
    /// The log already has the change, with this effect.
    Recorded(Decision),
    /// The table has a later version than the one that the change is based on.
    Conflict(Box<Conflict>),
    /// The change names something that does not exist, or is not allowed.
    Invalid {
        /// What is wrong.
        title: String,
        /// What the operator can do.
        remedy: String,
    },
    /// The change may be appended.
    Valid,
}

impl Validity {
    fn invalid(title: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::Invalid {
            title: title.into(),
            remedy: remedy.into(),
        }
    }
}

impl Node {
    /// Checks a change against the state of this node.
    ///
    /// The result is conclusive only if the node's latest log proof is newer than the arrival of the
    /// change. Otherwise the state may lack the record of an earlier attempt at the same change.
    pub fn validate(&self, change: &Change) -> Validity {
        if let Some(answer) = self.ledger().archive().decision(change.id) {
            return Validity::Recorded(answer);
        }
        if change.actor.trim().is_empty() || change.reason.trim().is_empty() {
            return Validity::invalid("the change has no actor or no reason", "state both");
        }
        match &change.record {
            Record::Table { base, table } => self.validate_table(*base, table),
            Record::DataCentre { name, .. } => {
                let known = self.ledger().table().data_centres.keys();
                validate_name("data centre", name.as_str(), known.map(|n| n.as_str()))
            }
            Record::Target { name, .. } => {
                let services = self.ledger().table().services.values();
                let known = services.flat_map(|row| row.targets.keys());
                validate_name("target", name.as_str(), known.map(name::Target::as_str))
            }
            record if record.is_operators() => Validity::Valid,
            _ => Validity::invalid(
                "the record is of a kind that only daemons write",
                "submit a table, data centre, host, target, lost process or quarantine",
            ),
        }
    }

    fn validate_table(&self, base: Version, table: &Table) -> Validity {
        if base < self.ledger().version() {
            return Validity::Conflict(Box::new(self.conflict()));
        }
        let rows = table.services.iter();
        let changed = rows.filter_map(|(name, row)| {
            let assignment = self.ledger().assignments().get(name)?;
            let slices = assignment.slices.len();
            (slices != row.slices as usize).then(|| {
                format!(
                    "services[{name}].slices: got {}, expected {slices}, which is fixed",
                    row.slices
                )
            })
        });
        let changed: Vec<String> = changed.collect();
        match changed.is_empty() {
            true => Validity::Valid,
            false => Validity::invalid(
                changed.join("\n"),
                "restore the number of slices, or add a service with another name",
            ),
        }
    }

    /// Returns the current table, for the answer to a change that is based on an old version.
    pub fn conflict(&self) -> Conflict {
        Conflict {
            version: self.ledger().version(),
            table: self.ledger().table().clone(),
        }
    }
}

fn validate_name<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> Validity {
    let known: Vec<&str> = known.collect();
    if known.contains(&name) {
        return Validity::Valid;
    }
    let remedy = match suggest(name, known) {
        Some(near) => format!("did you mean {near:?}?"),
        None => format!("name a {what} of the table"),
    };
    Validity::invalid(format!("the table has no {what} {name:?}"), remedy)
}
