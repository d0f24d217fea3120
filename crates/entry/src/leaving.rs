//! Targets that state in an answer that they leave: their record on this host, and its exchange with
//! other hosts.
//!
//! Such a target counts as draining from then on, whatever its entry in the store says.

pub(crate) use ragwortrill_router::leaving::Source;
use ragwortrill_router::registration::Incarnation;

use crate::{
    message::{Header, Headers},
    shared::Shared,
};

/// Value of the header in the answers of a target that leaves.
const IS_LEAVING: &str = "1";
/// Header of an answer to a forwarded request that names the target if it leaves. It is used
/// between hosts only.
const TARGET_HEADER: &str = "Ragwortrill-Leaving-Target";

/// Records what an answer says about whether its target leaves.
pub(crate) fn record(shared: &Shared, target: &Incarnation, headers: &Headers) {
    let stated = headers.get(shared.protocol.headers.leaving);
    if stated.is_some_and(|value| value.trim() == IS_LEAVING) {
        store(shared, target, Source::Answer);
    }
}

fn store(shared: &Shared, target: &Incarnation, source: Source) {
    let now = shared.now();
    let is_new = shared
        .fleet
        .borrow_mut()
        .record_leaving(now, target, source);
    if is_new {
        let source = match source {
            Source::Answer => "answer",
            Source::Relay | Source::Report => "other host",
        };
        log::info!(target = target.id.as_str(), born = target.start_ms, source = source; "target states that it leaves");
    }
}

/// Returns whether a target has stated that it leaves.
pub(crate) fn is_leaving(shared: &Shared, target: &Incarnation) -> bool {
    shared.fleet.borrow().is_leaving(target)
}

/// Returns the targets that stated to this host, or to one that reports to it, that they leave, for
/// the leader.
pub(crate) fn own(shared: &Shared) -> Vec<Incarnation> {
    let fleet = shared.fleet.borrow();
    let own = fleet.leaving().filter(|(_, s)| *s != Source::Relay);
    own.map(|(target, _)| target.clone()).collect()
}

/// Returns all targets that this host knows to be leaving, for other hosts.
pub(crate) fn known(shared: &Shared) -> Vec<Incarnation> {
    let fleet = shared.fleet.borrow();
    fleet.leaving().map(|(target, _)| target.clone()).collect()
}

/// Records targets that leave, as another host told.
pub(crate) fn merge(shared: &Shared, targets: Vec<Incarnation>, source: Source) {
    for target in targets {
        store(shared, &target, source);
    }
}

/// Returns the header that tells the host that forwarded a request which target leaves, if the one
/// that answered it does.
pub(crate) fn relayed_header(shared: &Shared, target: &Incarnation) -> Option<Header> {
    let value = serde_json::to_vec(target).ok()?;
    let header = (TARGET_HEADER.into(), value.into());
    is_leaving(shared, target).then_some(header)
}

/// Records that the target of a forwarded request leaves, if the other host's answer says so, and
/// removes that host's header.
pub(crate) fn take_relayed(shared: &Shared, headers: &mut Vec<Header>) {
    let is_own = |(name, _): &Header| name.eq_ignore_ascii_case(TARGET_HEADER.as_bytes());
    let stated = headers.iter().find(|header| is_own(header));
    if let Some(Ok(target)) = stated.map(|(_, value)| serde_json::from_slice(value)) {
        store(shared, &target, Source::Relay);
    }
    headers.retain(|header| !is_own(header));
}
