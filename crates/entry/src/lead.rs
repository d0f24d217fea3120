//! Candidacy for leadership. The platform's group of hosts names one candidate; it is a hint, and
//! only the lease in the log gives the right to act.

use std::{cell::Cell, rc::Rc, time::Duration};

use ragwortrill_core::time::Span;
use tokio::time::sleep;

use crate::{
    dialect::{Append, Member},
    follow::HOST,
    reign,
    shared::Shared,
    store::Store,
};

/// Time without a call after which a host leaves the group.
const GROUP_TTL: Span = Span::from_millis(2_000);
/// Pause between two calls to the group.
const GROUP_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two looks at the candidacy.
const LOOK: Duration = Duration::from_millis(200);

/// Keeps the host in the group and leads while the group names it.
pub(crate) async fn lead(shared: Rc<Shared>) {
    let candidate = Rc::new(Cell::new(false));
    tokio::task::spawn_local(stay(shared.clone(), candidate.clone()));
    loop {
        if candidate.get() && !shared.is_stopping.get() {
            let outcome = reign::reign(&shared, &candidate).await;
            match outcome {
                Ok(()) => log::info!("leadership ended"),
                Err(error) => log::warn!(error = format!("{error:#}"); "leadership lost"),
            }
        }
        sleep(LOOK).await;
    }
}

/// Stays in the group of hosts.
async fn stay(shared: Rc<Shared>, candidate: Rc<Cell<bool>>) {
    let mut store = Store::new(shared.clone());
    let host = shared.settings.borrow().host.to_string();
    let mut generation = 0;
    let mut is_registered = false;
    loop {
        if shared.is_stopping.get() {
            let member = Member {
                name: &host,
                ttl: GROUP_TTL,
                generation,
            };
            let _ = store
                .append(
                    shared.dialect.topics.ownership,
                    None,
                    &key(HOST, &host),
                    b"",
                )
                .await;
            if let Err(error) = store.leave(&member).await {
                log::warn!(error = format!("{error:#}"); "the group can't be left");
            }
            candidate.set(false);
            return;
        }
        if !is_registered {
            let topic = shared.dialect.topics.ownership;
            let appended = store.append(topic, None, &key(HOST, &host), b"1").await;
            is_registered = matches!(appended, Ok(Append::Done(_)));
        }
        let member = Member {
            name: &host,
            ttl: GROUP_TTL,
            generation,
        };
        match store.join(&member).await {
            Ok(membership) => {
                generation = membership.generation;
                if candidate.get() != membership.leads {
                    log::info!(leads = membership.leads, generation = generation; "candidacy changed");
                }
                candidate.set(membership.leads);
            }
            Err(error) => log::debug!(error = format!("{error:#}"); "the group does not answer"),
        }
        sleep(GROUP_PAUSE).await;
    }
}

fn key(prefix: &str, name: &str) -> String {
    format!("{prefix}{name}")
}
