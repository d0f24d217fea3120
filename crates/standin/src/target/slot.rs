use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ragwortrill_core::time::Span;
use ragwortrill_platform::target::Refusal;

use super::{call::Call, handler::Handler, state::State};

/// A request that occupies a slot. Dropping it without `finish` counts it as interrupted.
pub(crate) struct Slot {
    pub(crate) call: Call,
    finished: bool,
    pub(crate) handler: Arc<Handler>,
}

/// A request that waits for a slot.
struct Waiter {
    call: Call,
    handler: Arc<Handler>,
    started: bool,
}

/// Waits for a slot. Returns it with the time that the run takes.
pub(crate) async fn acquire(handler: &Arc<Handler>, call: Call) -> Result<(Slot, Span), Refusal> {
    handler.until_resumed().await;
    let wrong_owner = handler.is_wrong_owner(call.key.as_deref());
    let admitted = handler
        .state
        .change(|state| admit(state, &call, wrong_owner));
    let result = match admitted {
        Ok(()) => wait_for_slot(handler, call).await,
        Err(refused) => Err(refused),
    };
    if result.is_err() {
        handler.state.change(|state| state.counts.refused += 1);
    }
    result
}

fn admit(state: &mut State, call: &Call, wrong_owner: bool) -> Result<(), Refusal> {
    let stale = call.epoch.is_some_and(|epoch| state.receive_epoch(epoch));
    let occupied = state.counts.running + state.counts.waiting;
    let over = occupied >= state.settings.slots;
    let counts = &mut state.counts;
    counts.received += 1;
    counts.stale += u64::from(stale);
    counts.wrong_owner += u64::from(wrong_owner);
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

async fn wait_for_slot(handler: &Arc<Handler>, call: Call) -> Result<(Slot, Span), Refusal> {
    handler.state.change(|state| state.enter(&call));
    let mut waiter = Waiter {
        call,
        handler: handler.clone(),
        started: false,
    };
    let deadline = handler.deadline(&waiter.call);
    let started = handler.state.until(|state| {
        if state.frozen {
            return None;
        }
        // The epoch and the grant are checked again, since both may have changed during the wait.
        if let Some(refused) = state.refusal(&waiter.call, Instant::now()) {
            return Some(Err(refused));
        }
        if state.is_full() {
            return None;
        }
        state.start(&waiter.call);
        waiter.started = true;
        Some(Ok(state.service_time()))
    });
    let result = before_deadline(deadline, started).await;
    handler.until_resumed().await;
    let time = result.unwrap_or(Err(Refusal::Late))?;
    let slot = Slot {
        call: waiter.call.clone(),
        finished: false,
        handler: handler.clone(),
    };
    record_start(&slot).await;
    Ok((slot, time))
}

/// Counts a run whose key another target owns, and crashes the target if the key is fatal.
async fn record_start(slot: &Slot) {
    let key = slot.call.key.as_deref();
    let wrong_owner = slot.handler.is_wrong_owner(key);
    let fatal = slot.handler.state.change(|state| {
        state.counts.wrong_owner_runs += u64::from(wrong_owner);
        let fatal = state.settings.fatal_key.as_deref();
        if fatal.is_some() && fatal == key {
            state.crash();
        }
        state.crashed
    });
    if fatal {
        // The server's thread stops because of the crash and drops this future.
        std::future::pending::<()>().await;
    }
}

/// Waits for a result, until the deadline if there is one.
pub(crate) async fn before_deadline<T>(
    deadline: Option<Instant>,
    result: impl Future<Output = T>,
) -> Option<T> {
    match deadline {
        Some(deadline) => {
            let left = deadline.saturating_duration_since(Instant::now());
            // A deadline that has passed must not discard a result that is already available.
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
        self.handler.state.change(|state| {
            state.leave(&self.call, true);
            match self.finished {
                true => state.counts.finished += 1,
                false => state.counts.interrupted += 1,
            }
        });
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if !self.started {
            let leave = |state: &mut State| state.leave(&self.call, false);
            self.handler.state.change(leave);
        }
    }
}
