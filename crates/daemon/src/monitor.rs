//! Reports the node's state as metrics and log lines.

use std::collections::BTreeSet;

use ragwortrill_core::{
    name,
    node::Node,
    process::Process,
    time::{Instant, Span},
};

use crate::shared::Shared;

/// Interval between reports.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// Time of the next report, and what the last one had: peers that differ, and targets that leave.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    next_report: Instant,
    differing: BTreeSet<Process>,
    leaving: BTreeSet<name::Target>,
}

impl Monitor {
    /// Reports the node's state once the interval has passed.
    pub(crate) fn report(&mut self, now: Instant, node: &Node, shared: &Shared) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        shared.metrics.record_gauges(&node.gauges(now));
        let differing = node.agreement().differing();
        for process in differing.difference(&self.differing) {
            log::error!(
                peer = process.to_string();
                "a peer has another state at the same offset; restart one of the two daemons"
            );
        }
        self.differing.clone_from(differing);
        let leaving: BTreeSet<name::Target> = node.leaving_targets().cloned().collect();
        for target in leaving.difference(&self.leaving) {
            log::info!(target = target.as_str(); "target states that it leaves");
        }
        self.leaving = leaving;
    }
}
