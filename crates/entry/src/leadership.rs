//! A host's time as leader: it holds the lease, writes ranges of keys and sends orders.
//!
//! A new leader counts every grant of the earlier one as in force until that leader's lease and the
//! longest grant have run out.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use anyhow::{Result, anyhow, bail};
use bytes::Bytes;
use ragwortrill_core::{
    name,
    number::Offset,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::{Assignment, Range, State},
    leader::{Action, Leader, Operation, Order, Response, Tick},
    registration::Incarnation,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    apply::{self, BARRED, SERVICE},
    call::{Client, Error, Reply},
    candidacy::Candidacy,
    follow::{self, Subject},
    lease::{Lease, TERM, Term},
    protocol::{Append, Draft, Record},
    shared::Shared,
    store::Store,
};

/// Age of the lease from which grants get the longest lifetime: the store fails, and keys shall
/// still be owned after the lease is over.
const LEASE_IN_DANGER: Span = Span::from_millis(1_700);
/// Lifetime of grants while the store answers.
const HOLD: Span = Span::from_millis(4_000);
/// Age up to which the view of the targets permits to move keys.
const VIEW_AGE: Span = Span::from_millis(1_500);
/// Pause before ranges are read back after a write without an answer.
const RELOAD: Duration = Duration::from_millis(200);
/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Longest time for a target's answer to a grant.
const GRANT_ANSWER: Duration = Duration::from_millis(400);
/// Longest time for a target's answer to a release, which waits for the work on the keys.
const RELEASE_ANSWER: Duration = Duration::from_millis(2_500);

/// State of the leading host.
struct Leadership {
    shared: Rc<Shared>,
    leader: RefCell<Leader>,
    lease: Rc<Lease>,
    /// End of the topic with the ranges, as this leader wrote it.
    end: Cell<Offset>,
    clients: RefCell<BTreeMap<Incarnation, Vec<Client>>>,
    /// Notified when an order is answered or ranges are written.
    progress: Notify,
}

/// Takes the lease and leads until it is lost, or until the host is no candidate any more.
pub(crate) async fn lead(shared: &Rc<Shared>, candidate: &Candidacy) -> Result<()> {
    let mut store = Store::new(shared.clone());
    let lease = Lease::take(shared, &mut store).await?;
    let known = read(shared, &mut store).await?;
    let topic = shared.protocol.topics.ownership;
    let claim = lease.term().record()?;
    // After this record, no earlier leader can write a range.
    let claims = std::slice::from_ref(&claim);
    let Append::Done(end) = store.append(topic, Some(known.end), claims).await? else {
        bail!("another record came before the claim");
    };
    apply::apply(shared, Subject::Ownership, written(vec![claim], end), false);
    log::info!(
        term = lease.term().number,
        earlier_grants_ms = lease.earlier_until().since(shared.now()).as_millis();
        "leadership taken"
    );
    let leadership = Rc::new(Leadership {
        shared: shared.clone(),
        leader: RefCell::new(Leader::new(&known.assignments, lease.earlier_until())),
        lease: lease.clone(),
        end: Cell::new(end),
        clients: RefCell::default(),
        progress: Notify::new(),
    });
    let keeping = tokio::task::spawn_local(lease.clone().keep());
    shared.is_leading.set(true);
    let outcome = leadership.run(candidate).await;
    shared.is_leading.set(false);
    let was_in_force = lease.is_in_force();
    lease.end();
    // A renewal that is on its way would stand after the record that gives the lease up.
    let is_kept = matches!(keeping.await, Ok(Ok(())));
    if is_kept && was_in_force {
        lease.give_up(&mut store).await?;
    }
    outcome
}

/// What the ownership topic holds.
struct Known {
    assignments: BTreeMap<name::Service, Assignment>,
    /// Term of the host that wrote the last claim.
    term: Option<Term>,
    end: Offset,
}

async fn read(shared: &Shared, store: &mut Store) -> Result<Known> {
    let (records, end) = store.newest(shared.protocol.topics.ownership).await?;
    let mut known = Known {
        assignments: BTreeMap::new(),
        term: None,
        end,
    };
    for Record { key, value, .. } in records {
        let Some(value) = value else {
            continue;
        };
        if let Some(service) = apply::service(&key) {
            let range = serde_json::from_slice(&value)?;
            known.assignments.entry(service).or_default().upsert(range);
        } else if key == TERM {
            known.term = Some(serde_json::from_slice(&value)?);
        }
    }
    Ok(known)
}

/// Returns records as they stand in a topic that ends with them.
fn written(drafts: Vec<Draft>, end: Offset) -> Vec<Record> {
    let first = end.0 - drafts.len() as u64;
    let record = |(index, draft): (usize, Draft)| Record {
        key: draft.key,
        value: Some(Bytes::from(draft.value)),
        offset: Offset(first + index as u64),
    };
    drafts.into_iter().enumerate().map(record).collect()
}

impl Leadership {
    async fn run(self: Rc<Self>, candidate: &Candidacy) -> Result<()> {
        loop {
            if !candidate.leads.get() || self.shared.is_stopping.get() {
                return Ok(());
            }
            if !self.lease.is_in_force() {
                bail!("the lease is lost or can't be renewed");
            }
            if self.is_replaced() {
                self.lease.end();
                bail!("another host claims the keys");
            }
            self.bar_crashing_requests();
            for action in self.tick() {
                match action {
                    Action::Send(order) => {
                        tokio::task::spawn_local(self.clone().send(order));
                    }
                    Action::Write(service, ranges) => {
                        tokio::task::spawn_local(self.clone().write(service, ranges));
                    }
                    Action::Resign => {
                        candidate.abstain(self.shared.now());
                        bail!("most targets do not answer this host");
                    }
                }
            }
            let _ = timeout(TICK, self.progress.notified()).await;
        }
    }

    /// Tells whether the log names another host as leader.
    fn is_replaced(&self) -> bool {
        let leader = self.shared.leader.borrow();
        leader.as_ref() != Some(&self.lease.term().host)
    }

    /// Writes which requests crash their targets, so that every host refuses them.
    fn bar_crashing_requests(&self) {
        let barred = self
            .shared
            .crashes_merged
            .borrow_mut()
            .decide(self.shared.now());
        for fingerprint in barred {
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move {
                let record = [Draft {
                    key: format!("{BARRED}{fingerprint}"),
                    value: b"1".to_vec(),
                }];
                let topic = shared.protocol.topics.ownership;
                let mut store = Store::new(shared);
                if let Err(error) = store.append(topic, None, &record).await {
                    log::error!(fingerprint = fingerprint.to_string(), error = format!("{error:#}"); "request not barred");
                }
            });
        }
    }

    fn tick(&self) -> Vec<Action> {
        let now = self.shared.now();
        let config = self.shared.config.borrow().clone();
        let services: Vec<name::Service> = config
            .iter()
            .flat_map(|config| {
                let all = config.services.iter();
                all.filter(|(_, service)| service.is_partitioned)
                    .map(|(name, _)| name.clone())
            })
            .collect();
        let max_hold = self.shared.settings.borrow().bounds.max_hold;
        let hold = match self.lease.age() >= LEASE_IN_DANGER {
            true => max_hold,
            false => HOLD.min(max_hold),
        };
        self.leader.borrow_mut().tick(&Tick {
            now,
            fleet: &self.shared.fleet.borrow(),
            traffic: &self.shared.heat.borrow(),
            work_time: &|life| self.shared.with_peer(life, |peer| peer.load.work_time_us()),
            services: &services,
            hold,
            is_current: self.shared.view_age(now) < VIEW_AGE,
        })
    }

    async fn write(self: Rc<Self>, service: name::Service, ranges: Vec<Range>) {
        let mut store = Store::new(self.shared.clone());
        let sent = self.shared.now();
        match self.try_write(&mut store, &service, &ranges).await {
            Ok((records, end)) => {
                self.end.set(end);
                self.know(records, end, sent);
                self.note_moves(&service, &ranges);
                self.leader.borrow_mut().confirm_write(&service);
                self.progress.notify_one();
            }
            Err(error) => {
                log::warn!(service = service.as_str(), error = format!("{error:#}"); "assignment not written");
                self.reload(&mut store, &service).await;
            }
        }
    }

    /// Applies records that this host wrote, so that they need not be read.
    fn know(&self, records: Vec<Record>, end: Offset, sent: Instant) {
        let first = records.first().map(|record| record.offset);
        apply::apply(&self.shared, Subject::Ownership, records, false);
        // Records of others may stand between what was read and what was written.
        if follow::next(&self.shared, Subject::Ownership) == first {
            let mut mirrors = self.shared.mirrors.borrow_mut();
            mirrors
                .entry(Subject::Ownership)
                .or_default()
                .advance(end, sent);
        }
    }

    /// Logs each range that got a new owner, for the audit trail.
    fn note_moves(&self, service: &name::Service, ranges: &[Range]) {
        for range in ranges {
            let State::Moving(previous) = &range.state else {
                continue;
            };
            let from = previous
                .last()
                .map_or("", |previous| previous.target.id.as_str());
            log::info!(
                service = service.as_str(), first = range.first, last = range.last,
                epoch = range.epoch, from = from, target = range.owner.id.as_str(),
                term = self.lease.term().number;
                "keys move"
            );
        }
    }

    async fn try_write(
        &self,
        store: &mut Store,
        service: &name::Service,
        ranges: &[Range],
    ) -> Result<(Vec<Record>, Offset)> {
        if !self.lease.is_in_force() {
            bail!("the lease is over");
        }
        let topic = self.shared.protocol.topics.ownership;
        let record = |range: &Range| -> Result<Draft> {
            Ok(Draft {
                key: format!("{SERVICE}{service}/{}", range.first),
                value: serde_json::to_vec(range)?,
            })
        };
        let records: Vec<Draft> = ranges.iter().map(record).collect::<Result<_>>()?;
        match store.append(topic, Some(self.end.get()), &records).await? {
            Append::Done(end) => Ok((written(records, end), end)),
            Append::Conflict(_) => Err(anyhow!("another record came first")),
            Append::Refused => Err(anyhow!("the store refused the record")),
        }
    }

    /// Reads the assignment back after a write whose outcome is not known or that came second.
    async fn reload(&self, store: &mut Store, service: &name::Service) {
        loop {
            sleep(RELOAD).await;
            if !self.lease.is_in_force() {
                return;
            }
            match read(&self.shared, store).await {
                // A later leader does not know which of its moves this host would go on with.
                Ok(known) if known.term.as_ref() != Some(self.lease.term()) => {
                    self.lease.end();
                    return;
                }
                Ok(mut known) => {
                    self.end.set(known.end);
                    let assignment = known.assignments.remove(service).unwrap_or_default();
                    self.leader.borrow_mut().reload(service, assignment);
                    return;
                }
                Err(error) => log::warn!(error = format!("{error:#}"); "assignments can't be read"),
            }
        }
    }

    async fn send(self: Rc<Self>, order: Order) {
        let answer = match self.lease.is_in_force() {
            true => self.call(&order).await,
            false => Response::Silent,
        };
        self.note_order(&order, &answer);
        let is_routine = matches!(
            (&order.operation, &answer),
            (Operation::Grant { .. }, Response::Done(_))
        );
        let level = if is_routine {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level, service = order.service.as_str(), target = order.target.id.as_str(),
            first = order.first, last = order.last, epoch = order.fence,
            order = format!("{:?}", order.operation), answer = format!("{answer:?}");
            "order answered"
        );
        let now = self.shared.now();
        let is_move = !matches!(answer, Response::Silent) && !is_renewal(&self.shared, &order);
        self.leader
            .borrow_mut()
            .record_response(now, &order, answer);
        if is_move {
            self.progress.notify_one();
        }
    }

    fn note_order(&self, order: &Order, answer: &Response) {
        let verb = match order.operation {
            Operation::Grant { .. } => "grant",
            Operation::Release => "release",
        };
        let answer = match answer {
            Response::Done(_) => "done",
            Response::Refused => "refused",
            Response::Misdirected => "misdirected",
            Response::Silent => "silent",
        };
        self.shared.metrics.ordered(verb, answer);
    }

    async fn call(&self, order: &Order) -> Response {
        let idle = self
            .clients
            .borrow_mut()
            .entry(order.target.clone())
            .or_default()
            .pop();
        let mut client = idle.unwrap_or_else(|| Client::new(order.address()));
        let limit = match order.operation {
            Operation::Grant { .. } => GRANT_ANSWER,
            Operation::Release => RELEASE_ANSWER,
        };
        let call = (self.shared.protocol.encode_order)(order);
        let outcome = client.call(&call, limit).await;
        let mut clients = self.clients.borrow_mut();
        clients
            .entry(order.target.clone())
            .or_default()
            .push(client);
        drop(clients);
        self.interpret(order, outcome)
    }

    fn interpret(&self, order: &Order, outcome: Result<Reply, Error>) -> Response {
        match outcome {
            Ok(reply) => match reply.status {
                200 => Response::Done((self.shared.protocol.handover_token)(&reply)),
                409 => Response::Refused,
                421 => Response::Misdirected,
                status => {
                    log::warn!(target = order.target.id.as_str(), status = status; "unexpected answer to an order");
                    Response::Silent
                }
            },
            Err(error) => {
                log::info!(target = order.target.id.as_str(), error = error.to_string(); "order not answered");
                Response::Silent
            }
        }
    }
}

/// Tells whether an order renews a grant, after which nothing is due at once.
fn is_renewal(shared: &Shared, order: &Order) -> bool {
    let assignments = shared.assignments.borrow();
    let range = assignments
        .get(&order.service)
        .and_then(|a| a.range(order.first));
    range.is_some_and(|range| range.epoch == order.fence && range.is_held())
}
