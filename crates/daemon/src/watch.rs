//! Conditions of the node as metrics and log lines.

use std::collections::BTreeSet;

use ragwortrill_core::{
    node::Node,
    process::Process,
    time::{Instant, Span},
};

use crate::shell::Shell;

/// Interval between two looks.
const INTERVAL: Span = Span::from_millis(500);

/// What was reported last.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    next: Instant,
    differing: BTreeSet<Process>,
}

impl Watch {
    /// Reports the node's conditions if it is time to.
    pub(crate) fn tick(&mut self, now: Instant, node: &Node, shell: &Shell) {
        if now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        shell.metrics.watch(&node.gauges(now));
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
