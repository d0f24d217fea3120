//! The leader's work: holding the lease, writing the key ranges to the store, and sending grants
//! and releases of keys to targets.
//!
//! A new leader treats every grant of the earlier leader as valid until that leader's lease and the
//! longest possible grant have expired.

mod order;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use anyhow::{Result, anyhow, bail};
use bytes::Bytes;
use ragwortrill_core::{
    name,
    number::{Offset, Timeline},
    request::Fingerprint,
    time::{Instant, Span},
};
use ragwortrill_router::{
    assignment::{Assignment, Range, State},
    leader::{Action, Clearance, Leader, Tick},
    pace,
    registration::Incarnation,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use self::order::OrderClient;
use crate::{
    apply::{self, HOST_PREFIX, QUARANTINE_PREFIX, SERVICE_PREFIX},
    candidacy::Candidacy,
    follow::{self, Topic},
    journal::AUDIT,
    lease::{Lease, TERM_KEY, Term},
    protocol::{Append, Draft, Read, Record},
    rate_limit, reach, recovery,
    shared::Shared,
    stop::Phase,
    store::Store,
    tally::Count,
};

/// Lease age from which grants get the longest allowed lifetime. At this age renewals are failing,
/// and keys must stay owned after the lease has expired.
const LEASE_AGE_AT_RISK: Span = Span::from_millis(1_700);
/// Lifetime of grants while the lease is renewed regularly.
const GRANT_TTL: Span = Span::from_millis(4_000);
/// Age of the target list above which no keys are moved.
const MAX_FLEET_AGE: Span = Span::from_millis(1_500);
/// Delay before ranges are read back after a failed write.
const RELOAD_DELAY: Duration = Duration::from_millis(200);
/// Delay before a claim is repeated that another host's registration preceded.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before a failed write of quarantined fingerprints is repeated.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest interval between two planning steps.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Lag of the event loop from which another host should lead: the leader's callers wait as long, and
/// its orders are as late.
const MAX_LAG: Span = Span::from_millis(1_000);
/// Time for which a host leads before it may resign because it is late, so that leadership does not
/// change all the time while all hosts are.
const MIN_LATE_TERM: Span = Span::from_millis(3_000);
/// Number of low bits of an epoch that count within one timeline of the store.
const EPOCH_BITS: u32 = 32;
/// Largest number of records of one append. A record of a range has up to a few hundred bytes.
const MAX_DRAFTS_PER_APPEND: usize = 1_000;

/// Changed ranges by service.
type Changes = BTreeMap<name::Service, Vec<Range>>;

/// State that a host keeps while it leads.
struct Leadership {
    shared: Rc<Shared>,
    leader: RefCell<Leader>,
    lease: Rc<Lease>,
    /// End offset of the ownership topic after this leader's last write or read. Appends are
    /// conditional on it.
    topic_end: Cell<Offset>,
    /// Whether the claim in the store states that ranges may be missing.
    is_uncertain: Cell<bool>,
    /// Clients with a connection that no order uses.
    clients: RefCell<BTreeMap<Incarnation, Vec<OrderClient>>>,
    /// Targets whose answers name the order that they answer.
    naming: RefCell<BTreeSet<Incarnation>>,
    is_writing_quarantine: Cell<bool>,
    /// When this host began to lead.
    began_at: Instant,
    /// Wakes the planning loop when a target has answered or ranges are written.
    progress: Notify,
}

/// Acquires the lease and leads until the lease is lost or the host is no longer the candidate.
pub(crate) async fn lead(shared: &Rc<Shared>, candidate: &Candidacy) -> Result<()> {
    let mut store = Store::new(shared.clone());
    let lease = Lease::acquire(shared, &mut store).await?;
    let mut snapshot = read(shared, &mut store).await?;
    let earlier = snapshot.term.take();
    let earlier = earlier.filter(|term| term.timeline == lease.term().timeline);
    let is_first = earlier.is_none();
    let mut is_uncertain = earlier.is_some_and(|term| term.is_uncertain);
    let separated = separate(&mut snapshot, min_epoch(lease.term().timeline))?;
    let must_recover = is_first || snapshot.is_damaged;
    if must_recover {
        (snapshot, is_uncertain) = recover(shared, &mut store, &lease, snapshot).await?;
    } else if !separated.is_empty() {
        write_again(shared, &mut store, &lease, &mut snapshot, &separated).await?;
    }
    let claim = claim(lease.term(), is_uncertain)?;
    // Earlier leaders append on condition of the topic's end, which this record moves, so none of
    // them can write a range from here on.
    let end = append_claim(&mut store, &lease, snapshot.end, &claim).await?;
    apply::apply_changes(shared, Topic::Ownership, assign_offsets(vec![claim], end));
    log::info!(
        term = lease.term().number,
        earlier_grants_ms = lease.earlier_grants_until().since(shared.now()).as_millis();
        "leadership acquired"
    );
    let leader = Leader::new(&snapshot.assignments, lease.earlier_grants_until());
    let leader = match must_recover || is_uncertain {
        true => leader.recovered(!is_uncertain),
        false => leader,
    };
    if !is_uncertain {
        shared.led_term.set(lease.term().rank());
    }
    let leadership = Rc::new(Leadership {
        shared: shared.clone(),
        leader: RefCell::new(leader),
        lease: lease.clone(),
        topic_end: Cell::new(end),
        is_uncertain: Cell::new(is_uncertain),
        clients: RefCell::default(),
        naming: RefCell::default(),
        is_writing_quarantine: Cell::new(false),
        began_at: shared.now(),
        progress: Notify::new(),
    });
    let renewal = tokio::task::spawn_local(lease.clone().renew_until_over());
    shared.is_leading.set(true);
    let outcome = leadership.run(candidate).await;
    shared.is_leading.set(false);
    let was_valid = lease.is_valid();
    lease.revoke();
    // Waits for the renewal task: a renewal in flight could be appended after the release record
    // and make the lease look held again.
    let has_stopped_renewing = matches!(renewal.await, Ok(Ok(())));
    if has_stopped_renewing && was_valid {
        lease.release(&mut store).await?;
    }
    outcome
}

/// Appends a claim to the ownership topic and returns the topic's end after it. Hosts that register
/// meanwhile move the end of the topic; another leader's records end the attempt.
async fn append_claim(
    store: &mut Store,
    lease: &Lease,
    mut end: Offset,
    claim: &Draft,
) -> Result<Offset> {
    let topic = lease.shared().protocol.topics.ownership;
    let claims = std::slice::from_ref(claim);
    loop {
        if !lease.is_valid() {
            bail!("leader lease lost before the claim was written");
        }
        if let Append::Done(end) = store.append(topic, Some(end), claims).await? {
            return Ok(end);
        }
        let Read::Records(records, next) = store.read(topic, end, Span::ZERO).await? else {
            bail!("records of the ownership topic expired before they were read");
        };
        let is_host = |record: &Record| record.key.starts_with(HOST_PREFIX);
        if !records.iter().all(is_host) {
            bail!("another host wrote to the ownership topic before this host's claim");
        }
        end = next;
        sleep(CLAIM_RETRY_DELAY).await;
    }
}

/// Contents of the ownership topic.
struct Snapshot {
    assignments: BTreeMap<name::Service, Assignment>,
    /// Lease term of the host that wrote the last claim.
    term: Option<Term>,
    /// Whether a range is missing since its record can't be decoded.
    is_damaged: bool,
    end: Offset,
}

async fn read(shared: &Shared, store: &mut Store) -> Result<Snapshot> {
    let (records, end) = store.newest(shared.protocol.topics.ownership).await?;
    let mut snapshot = Snapshot {
        assignments: BTreeMap::new(),
        term: None,
        is_damaged: false,
        end,
    };
    for Record { key, value, .. } in records {
        let Some(value) = value else {
            continue;
        };
        if let Some(service) = apply::service(&key) {
            let Some(range) = apply::decode_range(&key, &value) else {
                snapshot.is_damaged = true;
                continue;
            };
            let assignment = snapshot.assignments.entry(service).or_default();
            assignment.upsert(range);
        } else if key == TERM_KEY {
            snapshot.term = Term::decode(&value);
        }
    }
    Ok(snapshot)
}

/// Turns appended drafts into records with offsets, given the end of the topic after the append.
fn assign_offsets(drafts: Vec<Draft>, end: Offset) -> Vec<Record> {
    let first = end.0 - drafts.len() as u64;
    let record = |(index, draft): (usize, Draft)| Record {
        key: draft.key,
        value: Some(Bytes::from(draft.value)),
        offset: Offset(first + index as u64),
    };
    drafts.into_iter().enumerate().map(record).collect()
}

/// Writes all that hosts remember to a store that no leader has written to since it was restored
/// from a copy, or that has a range which can't be decoded. The claim that follows marks it as
/// written. Returns also whether later ranges may be missing.
async fn recover(
    shared: &Rc<Shared>,
    store: &mut Store,
    lease: &Lease,
    copy: Snapshot,
) -> Result<(Snapshot, bool)> {
    let merged = recovery::merge(shared, &copy.assignments).await;
    let is_uncertain = !merged.is_complete;
    let mut snapshot = Snapshot {
        assignments: merged.assignments,
        ..copy
    };
    let mut drafts = Vec::new();
    for (service, assignment) in &mut snapshot.assignments {
        assignment.recover(min_epoch(lease.term().timeline));
        for range in &assignment.ranges {
            drafts.push(range_draft(service, range)?);
        }
    }
    let quarantined = shared.crash_observer.borrow().quarantined(shared.now());
    drafts.extend(quarantined.into_iter().map(quarantine_draft));
    write_again(shared, store, lease, &mut snapshot, &drafts).await?;
    Ok((snapshot, is_uncertain))
}

fn log_clearance(clearance: &Clearance) {
    log::info!(
        target: AUDIT, service = clearance.service.as_str(), first = clearance.first,
        last = clearance.last, range_epoch = clearance.range_epoch,
        target = clearance.owner.target.id.as_str(), epoch = clearance.owner.fence,
        evidence = format!("{:?}", clearance.evidence);
        "previous owner can't hold the keys any more"
    );
}

/// Writes records that a new leader must have written before its claim.
async fn write_again(
    shared: &Rc<Shared>,
    store: &mut Store,
    lease: &Lease,
    snapshot: &mut Snapshot,
    drafts: &[Draft],
) -> Result<()> {
    let topic = shared.protocol.topics.ownership;
    for part in drafts.chunks(MAX_DRAFTS_PER_APPEND) {
        if !lease.is_valid() {
            bail!("leader lease lost while the key ranges were written again");
        }
        let Append::Done(end) = store.append(topic, Some(snapshot.end), part).await? else {
            bail!("another host wrote to the ownership topic before this host's claim");
        };
        snapshot.end = end;
        let records = assign_offsets(part.to_vec(), end);
        apply::apply_changes(shared, Topic::Ownership, records);
    }
    Ok(())
}

/// Separates ranges that have keys in common, and returns the records of all ranges of their services.
/// Nothing may be sent by them until they are written.
fn separate(snapshot: &mut Snapshot, min_epoch: u64) -> Result<Vec<Draft>> {
    let mut drafts = Vec::new();
    for (service, assignment) in &mut snapshot.assignments {
        if !assignment.separate(min_epoch) {
            continue;
        }
        log::warn!(service = service.as_str(), ranges = assignment.ranges.len(); "key ranges in the store overlap; common keys wait for all of their owners");
        for range in &assignment.ranges {
            drafts.push(range_draft(service, range)?);
        }
    }
    Ok(drafts)
}

/// Returns the record by which a leader claims the ownership topic.
fn claim(term: &Term, is_uncertain: bool) -> Result<Draft> {
    let claim = Term {
        is_uncertain,
        ..term.clone()
    };
    claim.record()
}

/// Returns the lowest epoch of a timeline, above all that earlier timelines can have reached: what
/// they allocated last may be lost.
fn min_epoch(timeline: Timeline) -> u64 {
    timeline.0 << EPOCH_BITS
}

fn range_draft(service: &name::Service, range: &Range) -> Result<Draft> {
    Ok(Draft {
        key: format!("{SERVICE_PREFIX}{service}/{}", range.first),
        value: serde_json::to_vec(range)?,
    })
}

fn quarantine_draft(fingerprint: Fingerprint) -> Draft {
    Draft {
        key: format!("{QUARANTINE_PREFIX}{fingerprint}"),
        value: b"1".to_vec(),
    }
}

impl Leadership {
    async fn run(self: Rc<Self>, candidate: &Candidacy) -> Result<()> {
        self.shared.tally.restart(self.began_at);
        loop {
            self.log_exchanges();
            if !candidate.is_nominated.get() || self.shared.stop.has_reached(Phase::Stopping) {
                return Ok(());
            }
            if !self.lease.is_valid() {
                bail!("leader lease lost, or not renewed in time");
            }
            if reach::is_cut_off(&self.shared) {
                candidate.withdraw(self.shared.now());
                bail!("this host has lost its links to most targets; resigning as leader");
            }
            let lag = self.shared.recent_lag();
            let has_led = self.shared.now().since(self.began_at) >= MIN_LATE_TERM;
            if lag >= MAX_LAG && has_led {
                candidate.withdraw(self.shared.now());
                bail!("the event loop of this host is {lag} late; resigning as leader");
            }
            if self.is_replaced() {
                self.lease.revoke();
                bail!("another host has claimed leadership");
            }
            self.write_quarantine();
            let started = self.shared.now();
            for action in self.tick() {
                match action {
                    Action::Send(order) => {
                        tokio::task::spawn_local(self.clone().send(order, started));
                    }
                    Action::Write(changes) => {
                        tokio::task::spawn_local(self.clone().write(changes));
                    }
                    Action::Log(clearance) => log_clearance(&clearance),
                    Action::Resign => {
                        candidate.withdraw(self.shared.now());
                        bail!("most targets do not answer this host; resigning as leader");
                    }
                }
            }
            let elapsed = self.shared.now().since(started);
            sleep(pace::planning_pause(elapsed).as_duration()).await;
            let _ = timeout(TICK_INTERVAL, self.progress.notified()).await;
        }
    }

    /// Logs the exchanges with other hosts since the last line, once a second at most.
    fn log_exchanges(&self) {
        let taken = self.shared.tally.take(self.shared.now());
        let Some((count, elapsed)) = taken.filter(|(count, _)| *count != Count::default()) else {
            return;
        };
        log::info!(
            reports = count.reports, report_bytes = count.report_bytes,
            answers = count.answers, answer_bytes = count.answer_bytes,
            elapsed_ms = elapsed.as_millis(), hosts = self.shared.hosts.borrow().len();
            "reports of other hosts answered"
        );
    }

    /// Returns whether the store no longer names this host as leader.
    fn is_replaced(&self) -> bool {
        let leader = self.shared.leader.borrow();
        leader.as_ref() != Some(&self.lease.term().host)
    }

    /// Writes the quarantined fingerprints that the store lacks, so that the next leader and new
    /// hosts know them. A write that fails is repeated.
    fn write_quarantine(self: &Rc<Self>) {
        let now = self.shared.now();
        let unwritten = self.shared.crash_observer.borrow().unwritten(now);
        if unwritten.is_empty() || self.is_writing_quarantine.replace(true) {
            return;
        }
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let records: Vec<Draft> = unwritten.iter().copied().map(quarantine_draft).collect();
            let topic = this.shared.protocol.topics.ownership;
            let mut store = Store::new(this.shared.clone());
            match store.append(topic, None, &records).await {
                Ok(Append::Done(_)) => {
                    let mut observer = this.shared.crash_observer.borrow_mut();
                    for fingerprint in unwritten {
                        observer.quarantine(now, fingerprint, true);
                    }
                }
                outcome => {
                    let error = outcome.err().map(|error| format!("{error:#}"));
                    log::error!(fingerprints = records.len(), error = error.unwrap_or_default(); "quarantine of crashing requests not written to the store; retrying");
                    sleep(QUARANTINE_RETRY_DELAY).await;
                }
            }
            this.is_writing_quarantine.set(false);
        });
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
        let hold = match self.lease.age() >= LEASE_AGE_AT_RISK {
            true => max_hold,
            false => GRANT_TTL.min(max_hold),
        };
        self.leader.borrow_mut().tick(&Tick {
            now,
            fleet: &self.shared.fleet.borrow(),
            traffic: &self.shared.traffic.borrow(),
            work_time: &|incarnation| {
                self.shared
                    .with_endpoint(incarnation, |endpoint| endpoint.load.work_time_us())
            },
            rate_limit: &|incarnation| rate_limit::rate(&self.shared, incarnation, now),
            services: &services,
            hold,
            is_current: self.shared.fleet_age(now) < MAX_FLEET_AGE,
            min_epoch: min_epoch(self.lease.term().timeline),
        })
    }

    async fn write(self: Rc<Self>, changes: Changes) {
        let mut store = Store::new(self.shared.clone());
        let sent = self.shared.now();
        match self.try_write(&mut store, &changes).await {
            Ok((records, end)) => {
                self.topic_end.set(end);
                self.apply_written(records, end, sent);
                self.log_moves(&changes);
                self.leader.borrow_mut().confirm_write();
                self.progress.notify_one();
            }
            Err(error) => {
                let services: Vec<&str> = changes.keys().map(name::Service::as_str).collect();
                log::warn!(services = services.join(" "), at = self.topic_end.get().0, error = format!("{error:#}"); "key assignments not written to the store; reading them back");
                self.reload(&mut store).await;
            }
        }
    }

    /// Applies records that this host wrote, so that it need not read them back.
    fn apply_written(&self, records: Vec<Record>, end: Offset, sent: Instant) {
        let first = records.first().map(|record| record.offset);
        apply::apply_changes(&self.shared, Topic::Ownership, records);
        // The read position advances only without a gap: records of other hosts may stand between
        // the last record read and the first one written.
        if follow::next_offset(&self.shared, Topic::Ownership) == first {
            self.shared.advance_replica(Topic::Ownership, end, sent);
        }
    }

    /// Logs each range that moves to a new owner, for the audit trail.
    fn log_moves(&self, changes: &Changes) {
        let all = changes.iter();
        let ranges = all.flat_map(|(service, ranges)| ranges.iter().map(move |r| (service, r)));
        for (service, range) in ranges {
            let State::Moving(previous) = &range.state else {
                continue;
            };
            let from = previous
                .last()
                .map_or("", |previous| previous.target.id.as_str());
            let previous: Vec<String> = previous
                .iter()
                .map(|owner| format!("{}@{}", owner.target.id, owner.fence))
                .collect();
            log::info!(
                target: AUDIT, service = service.as_str(), first = range.first, last = range.last,
                epoch = range.epoch, from = from, previous = previous.join(" "),
                target = range.owner.id.as_str(), term = self.lease.term().number;
                "keys move"
            );
        }
    }

    async fn try_write(
        &self,
        store: &mut Store,
        changes: &Changes,
    ) -> Result<(Vec<Record>, Offset)> {
        if !self.lease.is_valid() {
            bail!("leader lease expired before the write");
        }
        let topic = self.shared.protocol.topics.ownership;
        let mut records = Vec::new();
        for (service, ranges) in changes {
            for range in ranges {
                records.push(range_draft(service, range)?);
            }
        }
        let is_certain = self.shared.now() >= self.lease.earlier_grants_until();
        let settles = self.is_uncertain.get() && is_certain;
        if settles {
            records.push(claim(self.lease.term(), false)?);
        }
        match store
            .append(topic, Some(self.topic_end.get()), &records)
            .await?
        {
            Append::Done(end) => {
                if settles {
                    self.is_uncertain.set(false);
                    self.shared.led_term.set(self.lease.term().rank());
                }
                Ok((assign_offsets(records, end), end))
            }
            Append::Conflict(_) => Err(anyhow!("another record was appended first")),
            Append::Refused => Err(anyhow!("the store rejected the append")),
        }
    }

    /// Reads the assignments back after a write that was rejected or whose outcome is unknown.
    async fn reload(&self, store: &mut Store) {
        loop {
            sleep(RELOAD_DELAY).await;
            if !self.lease.is_valid() {
                return;
            }
            match self.try_reload(store).await {
                Ok(()) => return,
                Err(error) => {
                    log::warn!(error = format!("{error:#}"); "key assignments can't be read from the store; retrying")
                }
            }
        }
    }

    async fn try_reload(&self, store: &mut Store) -> Result<()> {
        let is_own = |term: &Term| term.is_same(self.lease.term());
        let snapshot = read(&self.shared, store).await?;
        // Another leader has claimed the keys. It can't know which moves this host would continue, so
        // this host stops. A range that can't be decoded is left to the next leader, which asks other
        // hosts for it.
        let is_claimed = snapshot.term.as_ref().is_some_and(is_own);
        if !is_claimed || snapshot.is_damaged || !self.lease.is_valid() {
            self.lease.revoke();
            return Ok(());
        }
        let end = match snapshot.end == self.topic_end.get() {
            true => self.preclude(store, snapshot.end).await?,
            false => snapshot.end,
        };
        self.topic_end.set(end);
        self.leader.borrow_mut().reload(&snapshot.assignments);
        Ok(())
    }

    /// Appends this leader's claim again after a write that is conditional on the end of the topic and
    /// may still be executed. Returns the new end, at which the write can't be executed any more.
    async fn preclude(&self, store: &mut Store, end: Offset) -> Result<Offset> {
        let topic = self.shared.protocol.topics.ownership;
        let claim = claim(self.lease.term(), self.is_uncertain.get())?;
        let sent = self.shared.now();
        match store
            .append(topic, Some(end), std::slice::from_ref(&claim))
            .await?
        {
            Append::Done(end) => {
                log::info!(end = end.0; "a write without an answer can't be executed any more");
                self.apply_written(assign_offsets(vec![claim], end), end, sent);
                Ok(end)
            }
            Append::Conflict(_) => bail!("a record was appended while the ranges were read back"),
            Append::Refused => bail!("the store rejected the claim"),
        }
    }
}
