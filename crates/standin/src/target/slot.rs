use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ragwortrill_core::time::Span;
use ragwortrill_platform::target::Refusal;

use super::{call::Call, site::Site, state::State};

/// A request in a slot. A slot that is given back without `finish` counts as interrupted.
pub(crate) struct Slot {
    pub(crate) call: Call,
    finished: bool,
    pub(crate) site: Arc<Site>,
}

/// A request that waits for a slot.
struct Place {
    call: Call,
    site: Arc<Site>,
    started: bool,
}

/// Waits for a slot. Gives the slot with the time that the run takes.
pub(crate) async fn enter(site: &Arc<Site>, call: Call) -> Result<(Slot, Span), Refusal> {
    site.thawed().await;
    let foreign = site.is_foreign(call.key.as_deref());
    let arrived = site.state.change(|state| arrive(state, &call, foreign));
    let result = match arrived {
        Ok(()) => wait(site, call).await,
        Err(refused) => Err(refused),
    };
    if result.is_err() {
        site.state.change(|state| state.counts.refused += 1);
    }
    result
}

fn arrive(state: &mut State, call: &Call, foreign: bool) -> Result<(), Refusal> {
    let stale = call.epoch.is_some_and(|epoch| state.receive_epoch(epoch));
    let asked = state.counts.running + state.counts.waiting;
    let over = asked >= state.settings.slots;
    let counts = &mut state.counts;
    counts.received += 1;
    counts.stale += u64::from(stale);
    counts.wrong_owner += u64::from(foreign);
    counts.over_slots += u64::from(over);
    if let Some(refused) = state.refusal(call, Instant::now()) {
        return Err(refused);
    }
    match (state.settings.draining, over && state.settings.sheds) {
        (true, _) => Err(Refusal::Draining),
        (_, true) => Err(Refusal::Full),
        _ => Ok(()),
    }
}

async fn wait(site: &Arc<Site>, call: Call) -> Result<(Slot, Span), Refusal> {
    site.state.change(|state| state.enter(&call));
    let mut place = Place {
        call,
        site: site.clone(),
        started: false,
    };
    let deadline = site.deadline(&place.call);
    let started = site.state.until(|state| {
        if state.frozen {
            return None;
        }
        // The epoch and the grant are checked again, since both may have changed in the wait.
        if let Some(refused) = state.refusal(&place.call, Instant::now()) {
            return Some(Err(refused));
        }
        if state.is_full() {
            return None;
        }
        state.start(&place.call);
        place.started = true;
        Some(Ok(state.service_time()))
    });
    let result = until(deadline, started).await;
    site.thawed().await;
    let time = result.unwrap_or(Err(Refusal::Late))?;
    let slot = Slot {
        call: place.call.clone(),
        finished: false,
        site: site.clone(),
    };
    begin(&slot).await;
    Ok((slot, time))
}

/// Counts a run whose key belongs elsewhere, and crashes the target if the key is fatal.
async fn begin(slot: &Slot) {
    let key = slot.call.key.as_deref();
    let foreign = slot.site.is_foreign(key);
    let fatal = slot.site.state.change(|state| {
        state.counts.wrong_owner_runs += u64::from(foreign);
        let fatal = state.settings.fatal_key.as_deref();
        if fatal.is_some() && fatal == key {
            state.crash();
        }
        state.crashed
    });
    if fatal {
        // The server's thread ends and drops this future.
        std::future::pending::<()>().await;
    }
}

/// Waits for a result until a deadline, if there is one.
pub(crate) async fn until<T>(
    deadline: Option<Instant>,
    result: impl Future<Output = T>,
) -> Option<T> {
    match deadline {
        Some(deadline) => {
            let left = deadline.saturating_duration_since(Instant::now());
            // A deadline that has passed still lets a result through that is there already.
            let left = left.max(Duration::from_millis(1));
            tokio::time::timeout(left, result).await.ok()
        }
        None => Some(result.await),
    }
}

impl Slot {
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.site.state.change(|state| {
            state.leave(&self.call, true);
            match self.finished {
                true => state.counts.finished += 1,
                false => state.counts.interrupted += 1,
            }
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.started {
            let leave = |state: &mut State| state.leave(&self.call, false);
            self.site.state.change(leave);
        }
    }
}
