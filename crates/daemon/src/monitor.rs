//! Reports the node's state as metrics and log lines.

use std::collections::BTreeSet;

use ragwortrill_core::{
    node::Node,
    process::Process,
    time::{Instant, Span},
};

use crate::shared::Shared;

/// Interval between reports.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// Time of the next report, and the peers that were last reported as differing.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    next_report: Instant,
    differing: BTreeSet<Process>,
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
    }
}
