//! Removal of the local state of targets that have ended.

use std::{rc::Rc, time::Duration};

use ragwortrill_router::registration::Incarnation;
use tokio::time::sleep;

use crate::shared::Shared;

/// Interval at which ended targets are looked for.
const INTERVAL: Duration = Duration::from_secs(5);

/// Removes the state of ended targets for as long as the host runs.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        sleep(INTERVAL).await;
        forget_ended_targets(&shared);
    }
}

fn forget_ended_targets(shared: &Shared) {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    let is_listed = |incarnation: &Incarnation| {
        let known = fleet.get(&incarnation.id);
        known.is_some_and(|known| &known.registration.incarnation == incarnation)
    };
    let mut endpoints = shared.endpoints.borrow_mut();
    endpoints.retain(|incarnation, endpoint| endpoint.is_needed(now, is_listed(incarnation)));
}
