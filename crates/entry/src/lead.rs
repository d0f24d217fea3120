//! Candidacy for leadership. The platform's group of hosts names one candidate; it is a hint, and
//! only the lease in the log gives the right to act.

use std::{cell::Cell, rc::Rc, time::Duration};

use ragwortrill_core::time::{Instant, Span};
use tokio::time::sleep;

use crate::{
    dialect::{Append, Member, Membership},
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

/// Time for which a host that reaches hardly any target stays out of the group.
const ABSTENTION: Span = Span::from_secs(3);

/// What the group says of this host, and what the host makes of it.
#[derive(Debug, Default)]
pub(crate) struct Candidacy {
    /// Whether the group names this host.
    pub(crate) leads: Cell<bool>,
    /// Until when this host stays out of the group.
    abstains_until: Cell<Instant>,
}

impl Candidacy {
    /// Leaves the group for a while, so that another host is named.
    pub(crate) fn abstain(&self, now: Instant) {
        self.leads.set(false);
        self.abstains_until.set(now + ABSTENTION);
    }
}

/// Keeps the host in the group and leads while the group names it.
pub(crate) async fn lead(shared: Rc<Shared>) {
    let candidate = Rc::new(Candidacy::default());
    tokio::task::spawn_local(stay(shared.clone(), candidate.clone()));
    loop {
        if candidate.leads.get() && !shared.is_stopping.get() {
            let outcome = reign::reign(&shared, &candidate).await;
            match outcome {
                Ok(()) => log::info!("leadership ended"),
                Err(error) => log::warn!(error = format!("{error:#}"); "leadership lost"),
            }
        }
        sleep(LOOK).await;
    }
}

/// Keeps the host registered and in the group of hosts until it stops.
async fn stay(shared: Rc<Shared>, candidate: Rc<Candidacy>) {
    let mut store = Store::new(shared.clone());
    let host = shared.settings.borrow().host.to_string();
    let key = format!("{HOST}{host}");
    let topic = shared.dialect.topics.ownership;
    let address = shared.settings.borrow().listen.hosts;
    let address = address
        .map(|address| address.to_string())
        .unwrap_or_default();
    let mut generation = 0;
    let mut is_registered = false;
    while !shared.is_stopping.get() {
        if !is_registered {
            let appended = store.append(topic, None, &key, address.as_bytes()).await;
            is_registered = matches!(appended, Ok(Append::Done(_)));
        }
        let abstains = shared.now() < candidate.abstains_until.get();
        let member = Member {
            name: &host,
            ttl: GROUP_TTL,
            generation,
        };
        if abstains {
            leave(&mut store, &member).await;
        } else if let Some(membership) = join(&mut store, &member).await {
            generation = membership.generation;
            if candidate.leads.replace(membership.leads) != membership.leads {
                log::info!(leads = membership.leads, generation = generation; "candidacy changed");
            }
        }
        sleep(GROUP_PAUSE).await;
    }
    candidate.leads.set(false);
    let member = Member {
        name: &host,
        ttl: GROUP_TTL,
        generation,
    };
    leave(&mut store, &member).await;
    if let Err(error) = store.append(topic, None, &key, &[]).await {
        log::warn!(error = format!("{error:#}"); "the host's record can't be removed");
    }
}

async fn join(store: &mut Store, member: &Member<'_>) -> Option<Membership> {
    match store.join(member).await {
        Ok(membership) => Some(membership),
        Err(error) => {
            log::debug!(error = format!("{error:#}"); "the group does not answer");
            None
        }
    }
}

async fn leave(store: &mut Store, member: &Member<'_>) {
    if let Err(error) = store.leave(member).await {
        log::warn!(error = format!("{error:#}"); "the group can't be left");
    }
}
