//! Reports the node's state as metrics and log lines.

use std::collections::{BTreeMap, BTreeSet};

use ragwortrill_core::{
    name,
    node::Node,
    process::Process,
    time::{Instant, Span},
};

use crate::shared::Shared;

/// Interval between reports.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// Time of the next report, and what the last one had: peers that differ, and targets
/// that leave or want nothing for a time.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    next_report: Instant,
    differing: BTreeSet<Process>,
    leaving: BTreeSet<name::Target>,
    paused: BTreeSet<name::Target>,
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
        let paused: BTreeMap<_, _> = node.paused_targets(now).collect();
        for (target, left) in &paused {
            if !self.paused.contains(*target) {
                log::info!(target = target.as_str(), seconds = left.as_secs_f64(); "target wants no requests of this host for a time");
            }
        }
        self.paused = paused.into_keys().cloned().collect();
    }
}
