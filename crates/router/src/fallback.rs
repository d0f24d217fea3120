//! Decides when a host reads the store itself, because what the leader relays gets too old.

use ragwortrill_core::time::{Instant, Span};

/// Age that the leader's relayed records reach in normal operation: they may be as old as the leader's
/// last read, and the next answer comes after the time for which the leader holds a report. A host
/// that read the store itself before would do so all the time.
pub const MIN_RELAY_AGE: Span = Span::from_millis(1_000);
/// Time by which a relay reads the store before the hosts that report to it would.
const RELAY_LEAD: Span = Span::from_millis(700);
/// Time for the requests that are already being sent when a new record takes effect.
const SENDING_TIME: Span = Span::from_millis(100);
/// Delay before a host behind a relay repeats the first read that the store did not answer. One
/// connection that is lost is no outage, also if the relay is cut off from the store.
const RETRY_DELAY: Span = Span::from_millis(300);
/// Mean interval between two reads that all hosts behind relays together make while the store does not
/// answer them.
const OUTAGE_READ_INTERVAL: Span = Span::from_millis(20);
/// Time after which a slow read counts half.
const HALF_LIFE: Span = Span::from_secs(5);

/// What a host knows of its own reads and of the leader's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fallback {
    read_time: Peak,
    /// Relays between the leader and this host.
    relays: u64,
    /// Reads of a host behind a relay since the store did not answer one; none if it answered the last.
    outage: Option<Outage>,
    /// When the answer to the pending report is due; in the past after a report without an answer.
    answer_due: Option<Instant>,
}

/// When the store is read while it does not answer.
#[derive(Clone, Copy, Debug)]
struct Outage {
    next_try: Instant,
    /// Time from the next read to the one after it.
    delay: Span,
}

/// Largest of the latest values.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    value: Span,
    at: Instant,
}

impl Peak {
    fn record(&mut self, now: Instant, value: Span) {
        if value >= self.get(now) {
            *self = Self { value, at: now };
        }
    }

    fn get(&self, now: Instant) -> Span {
        let halvings = now.since(self.at).0 / HALF_LIFE.0;
        Span(self.value.0 >> halvings.min(63))
    }
}

impl Fallback {
    /// Records how long an own read took, from its start until its records were applied.
    pub fn record_read(&mut self, now: Instant, taken: Span) {
        self.read_time.record(now, taken);
    }

    /// Records that the store answered an own read.
    pub fn read_answered(&mut self) {
        self.outage = None;
    }

    /// Records that the store did not answer an own read. The first one is repeated soon; the next
    /// one after that waits for a time.
    pub fn read_failed(&mut self, now: Instant, delay: Span) {
        self.outage.get_or_insert(Outage {
            next_try: now + RETRY_DELAY,
            delay,
        });
    }

    /// Returns whether a host behind a relay waits for its turn to read the store, or takes it. It waits
    /// only if the store answers neither this host nor, as that states, its relay: the store may refuse
    /// one of them, and a relay that is slow or lacks records is no reason to wait.
    pub fn waits_for_turn(&mut self, now: Instant, interval: Span, states_outage: bool) -> bool {
        let Some(outage) = self.outage.as_mut().filter(|_| states_outage) else {
            return false;
        };
        let is_due = outage.next_try <= now;
        if is_due {
            *outage = Outage {
                next_try: now + outage.delay,
                delay: interval,
            };
        }
        !is_due
    }

    /// Records how many relays stand between the leader and this host. Each adds to the age that
    /// records reach in normal operation.
    pub fn set_relays(&mut self, relays: u64) {
        self.relays = relays;
    }

    /// Records that a report was sent whose answer is due at a time.
    pub fn expect_answer(&mut self, due: Instant) {
        // After a report without an answer, the relay stays late until the next answer.
        self.answer_due = Some(self.answer_due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Records that the leader's answer arrived, or that no other host leads any more.
    pub fn answer_arrived(&mut self) {
        self.answer_due = None;
    }

    /// Records that a report got no answer.
    pub fn answer_failed(&mut self, now: Instant) {
        self.expect_answer(now);
    }

    /// Returns the age up to which relayed records replace an own read. `usual` is that age for a host
    /// whose reads are fast, `bound` the age that the host's view must not exceed, and `lag` how late
    /// its event loop is.
    pub fn max_relay_age(&self, now: Instant, lag: Span, bound: Span, usual: Span) -> Span {
        let least = MIN_RELAY_AGE.scale(1 + self.relays, 1).min(usual);
        if self.answer_due.is_some_and(|due| due <= now) {
            return least;
        }
        // A failed read is repeated once.
        let needed = self.read_time.get(now).scale(2, 1) + lag + SENDING_TIME;
        (bound - needed).min(usual).max(least)
    }
}

/// Returns the age up to which a host relies on relayed records if its reads are fast. `of_host` is
/// that age for a host that no others report to; a relay reads the store before them.
pub fn usual_relay_age(of_host: Span, is_relay: bool) -> Span {
    match is_relay {
        true => (of_host - RELAY_LEAD).max(MIN_RELAY_AGE.min(of_host)),
        false => of_host,
    }
}

/// Returns the interval at which one of a number of hosts behind relays tries the store while it does
/// not answer.
pub fn outage_interval(hosts: usize) -> Span {
    OUTAGE_READ_INTERVAL.scale(hosts as u64, 1)
}
