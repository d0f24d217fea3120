//! Candidacy for leadership. The platform's group of hosts names one candidate; it is a hint, and
//! only the lease in the log gives the right to act.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use ragwortrill_core::time::{Instant, Span};
use tokio::time::sleep;

use crate::{
    apply::HOST,
    connection::Connection,
    leadership,
    protocol::{Append, Draft, Member, Membership},
    shared::{Host, Shared},
    store::Store,
};

/// Time without a call after which a host leaves the group.
const GROUP_TTL: Span = Span::from_millis(2_000);
/// Pause between two calls to the group.
const GROUP_PAUSE: Duration = Duration::from_millis(600);
/// Time after which a host that is not among the known hosts registers again.
const REGISTRATION: Span = Span::from_secs(3);
/// Multiple of a host's processor time with which another host should lead in its place.
const STRONGER: u32 = 2;
/// Time for which a strong host counts as alive after it was reached.
const STRONG_SEEN: Span = Span::from_millis(1_500);
/// Longest time to reach a strong host.
const PROBE: Duration = Duration::from_millis(300);
/// Pause between two looks at the candidacy.
const LOOK: Duration = Duration::from_millis(200);

/// Time for which a host that reaches hardly any target stays out of the group.
const ABSTENTION: Span = Span::from_secs(3);

/// What the group says of this host, and what the host makes of it.
#[derive(Debug, Default)]
pub(crate) struct Candidacy {
    /// Whether the group names this host.
    pub(crate) leads: Cell<bool>,
    /// When the group last said so.
    heard_at: Cell<Instant>,
    /// Until when this host stays out of the group.
    abstains_until: Cell<Instant>,
}

impl Candidacy {
    /// Tells whether the host may take the lease. What the group said before the store was out of
    /// reach may be over, and taking the lease of a live leader costs the keys their renewals.
    fn may_lead(&self, now: Instant) -> bool {
        self.leads.get() && now.since(self.heard_at.get()) < GROUP_TTL
    }

    /// Leaves the group for a while, so that another host is named.
    pub(crate) fn abstain(&self, now: Instant) {
        self.leads.set(false);
        self.abstains_until.set(now + ABSTENTION);
    }
}

/// Keeps the host in the group and leads while the group names it.
pub(crate) async fn stand(shared: Rc<Shared>) {
    let candidate = Rc::new(Candidacy::default());
    tokio::task::spawn_local(stay(shared.clone(), candidate.clone()));
    loop {
        if candidate.may_lead(shared.now()) && !shared.is_stopping.get() {
            let outcome = leadership::lead(&shared, &candidate).await;
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
    let topic = shared.protocol.topics.ownership;
    let own = own_record(&shared);
    let record = |value: &str| {
        [Draft {
            key: key.clone(),
            value: value.as_bytes().to_vec(),
        }]
    };
    let mut generation = 0;
    let mut is_member = false;
    let mut registered_at = None;
    let mut strong = Strong::default();
    while !shared.is_stopping.get() {
        // An earlier process of this host may remove the record late.
        let is_known = shared.hosts.borrow().contains_key(&host);
        let now = shared.now();
        let is_due = registered_at.is_none_or(|at| now.since(at) >= REGISTRATION);
        if !is_known && is_due {
            let appended = store.append(topic, None, &record(&own)).await;
            if matches!(appended, Ok(Append::Done(_))) {
                registered_at = Some(now);
            }
        }
        let is_out = shared.now() < candidate.abstains_until.get();
        let abstains = is_out || is_weak(&shared) && strong.is_alive(&shared).await;
        let member = Member {
            name: &host,
            ttl: GROUP_TTL,
            generation,
        };
        if abstains {
            candidate.leads.set(false);
            if std::mem::take(&mut is_member) {
                leave(&mut store, &member).await;
            }
        } else if let Some(membership) = join(&mut store, &member).await {
            is_member = true;
            candidate.heard_at.set(now);
            generation = membership.generation;
            if candidate.leads.replace(membership.is_leader) != membership.is_leader {
                log::info!(leads = membership.is_leader, generation = generation; "candidacy changed");
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
    if let Err(error) = store.append(topic, None, &record("")).await {
        log::warn!(error = format!("{error:#}"); "the host's record can't be removed");
    }
}

/// Returns what this host says of itself in the log.
fn own_record(shared: &Shared) -> String {
    let settings = shared.settings.borrow();
    let host = Host {
        address: settings.listen.hosts,
        processor_percent: settings.limits.processor_percent,
    };
    serde_json::to_string(&host).unwrap_or_default()
}

/// Tells whether another host has so much more processor time that it should lead.
fn is_weak(shared: &Shared) -> bool {
    let own = shared.settings.borrow().limits.processor_percent;
    strongest(shared) >= own * STRONGER
}

fn strongest(shared: &Shared) -> u32 {
    let hosts = shared.hosts.borrow();
    let all = hosts.values().map(|host| host.processor_percent);
    all.max().unwrap_or_default()
}

/// Whether a host with more processor time lives. As long as one does, weak hosts stay out of the
/// group.
#[derive(Default)]
struct Strong {
    seen: Option<Instant>,
}

impl Strong {
    async fn is_alive(&mut self, shared: &Shared) -> bool {
        let now = shared.now();
        let is_recent = |at: &Instant| now.since(*at) < STRONG_SEEN;
        if self.seen.as_ref().is_some_and(is_recent) {
            return true;
        }
        let most = strongest(shared);
        let hosts: Vec<SocketAddr> = {
            let hosts = shared.hosts.borrow();
            let strong = hosts
                .values()
                .filter(|host| host.processor_percent * STRONGER > most);
            strong.filter_map(|host| host.address).collect()
        };
        for address in hosts {
            if Connection::open(address, PROBE).await.is_ok() {
                self.seen = Some(now);
                return true;
            }
        }
        false
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
