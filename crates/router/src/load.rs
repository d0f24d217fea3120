//! Load of one target as observed by this host.

use ragwortrill_core::time::{Instant, Span};

/// Age from which a load report is ignored. Its weight decreases linearly until then.
const REPORT_LIFETIME: Span = Span::from_millis(1_000);
/// Minimum backoff between requests to a crowded target.
const MIN_BACKOFF: Span = Span::from_millis(50);
/// Maximum backoff between requests to a crowded target.
const MAX_BACKOFF: Span = Span::from_millis(5_000);
/// Weight of a new sample in the moving average of response times.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of the old value in the moving average of work times when one sample is added.
const WORK_TIME_RETENTION: f64 = 0.92;
/// Time for which this host sends no request to a target that shed one. It doubles with each
/// consecutive shed request, at most four times.
const MIN_SHED_BACKOFF: Span = Span::from_millis(25);
/// Response time and work time assumed before the first answer of a target.
const INITIAL_RESPONSE_TIME: Span = Span::from_millis(100);

/// Time constant of the exponential decay of the answer count, from which throughput is computed.
const THROUGHPUT_WINDOW: Span = Span::from_millis(1_500);
/// Microseconds in a second.
const US_PER_SECOND: f64 = 1e6;

/// Load that a target reports with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Time that a request currently takes to process, in percent of the usual time.
    pub slowdown_percent: u32,
}

/// Load of one target, estimated from its answers and reports.
#[derive(Clone, Debug)]
pub struct Load {
    in_flight: u32,
    report: Option<(Instant, Report, u32)>,
    response_us: f64,
    work_us: f64,
    samples: Samples,
    answers: f64,
    answered_at: Instant,
    sheds: u32,
    shed_until: Instant,
    backoff: Span,
    started_at: Instant,
}

/// Work times that were measured since they were last sent to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    /// Sum of the work times, in microseconds.
    pub sum_us: f64,
    /// Number of work times.
    pub count: u32,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            in_flight: 0,
            report: None,
            response_us: INITIAL_RESPONSE_TIME.0 as f64,
            work_us: INITIAL_RESPONSE_TIME.0 as f64,
            samples: Samples::default(),
            answers: 0.0,
            answered_at: Instant::default(),
            sheds: 0,
            shed_until: Instant::default(),
            backoff: Span::ZERO,
            started_at: Instant::default(),
        }
    }
}

impl Load {
    /// Returns the number of requests that this host has at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that a request was sent.
    pub fn start(&mut self, now: Instant) {
        self.in_flight += 1;
        self.started_at = now;
    }

    /// Records that a request ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the response time of an answer, and the load report that came with it.
    pub fn record_answer(&mut self, now: Instant, elapsed: Span, report: Option<Report>) {
        self.sheds = 0;
        self.answers = self.answers * self.answers_weight(now) + 1.0;
        self.answered_at = now;
        let elapsed = elapsed.0 as f64;
        self.response_us += (elapsed - self.response_us) * SAMPLE_WEIGHT;
        let work = elapsed * report.map_or(1.0, work_fraction);
        self.samples.sum_us += work;
        self.samples.count += 1;
        self.add_samples(Samples {
            sum_us: work,
            count: 1,
        });
    }

    /// Returns the answers per second that this host gets from the target: the higher of the recent
    /// rate and the one expected from its requests in flight.
    pub fn throughput(&self, now: Instant) -> f64 {
        let recent = self.answers * self.answers_weight(now) / THROUGHPUT_WINDOW.as_secs_f64();
        let expected = f64::from(self.in_flight) * US_PER_SECOND / self.response_us.max(1.0);
        recent.max(expected)
    }

    /// Returns when the target answered this host last.
    pub fn answered_at(&self) -> Instant {
        self.answered_at
    }

    /// Returns the remaining weight of the answer count, which decays since the last answer.
    fn answers_weight(&self, now: Instant) -> f64 {
        let age = now.since(self.answered_at).0 as f64 / THROUGHPUT_WINDOW.0 as f64;
        (-age).exp()
    }

    /// Records that the target did not run a request because it is full. Other hosts send to it
    /// too, so this host backs off for a while.
    pub fn record_shed(&mut self, now: Instant) {
        let backoff = MIN_SHED_BACKOFF.scale(1 << self.sheds.min(4), 1);
        self.shed_until = now + backoff;
        self.sheds += 1;
        self.adapt_backoff(Some(self.response_time()));
    }

    /// Tells whether the target shed a request so recently that this host sends it no other.
    pub fn is_shedding(&self, now: Instant) -> bool {
        now < self.shed_until
    }

    /// Adds work times that this host or another one measured.
    pub fn add_samples(&mut self, samples: Samples) {
        if samples.count > 0 {
            let mean = samples.sum_us / f64::from(samples.count);
            let kept = WORK_TIME_RETENTION.powi(samples.count as i32);
            self.work_us = mean + (self.work_us - mean) * kept;
        }
    }

    /// Adds work times that a host which reports to this one measured, for the leader.
    pub fn relay_samples(&mut self, samples: Samples) {
        self.add_samples(samples);
        self.samples.sum_us += samples.sum_us;
        self.samples.count = self.samples.count.saturating_add(samples.count);
    }

    /// Takes the work times that were not sent to the leader yet.
    pub fn take_samples(&mut self) -> Samples {
        std::mem::take(&mut self.samples)
    }

    /// Returns the mean time to process a request on an idle target, in microseconds.
    pub fn work_time_us(&self) -> f64 {
        self.work_us
    }

    /// Records a report that came with the answer to a request of this host. The request must still
    /// count as in flight.
    pub fn record_report(&mut self, now: Instant, report: Report) {
        let own = self.in_flight.saturating_sub(1);
        self.report = Some((now, report, own));
        let is_crowded = report.waiting > report.slots;
        self.adapt_backoff(is_crowded.then(|| now.since(self.started_at)));
    }

    /// Doubles the backoff before the next request, to at least `minimum`, if the target is
    /// crowded, and shortens it if `minimum` is `None`. With more than one request of this host at
    /// the target, the backoff stays as it is.
    fn adapt_backoff(&mut self, minimum: Option<Span>) {
        if self.in_flight > 1 {
            return;
        }
        self.backoff = match minimum {
            Some(minimum) => self.backoff.scale(2, 1).max(minimum).min(MAX_BACKOFF),
            None => self.backoff.scale(3, 5),
        };
        if self.backoff < MIN_BACKOFF {
            self.backoff = Span::ZERO;
        }
    }

    /// Tells whether this host may send one more request to the target, which may have `max_depth`
    /// requests of all hosts.
    ///
    /// A load report describes only the moment of its answer. If many hosts share a busy owner of
    /// keys and each sends a request whenever it has none in flight at the owner, the owner gets
    /// more requests than it can serve, and all are late. Therefore the backoff of each host grows
    /// while it finds the owner crowded, so that all hosts together send what the owner can serve.
    pub fn has_room(&self, now: Instant, max_depth: f64) -> bool {
        if self.is_shedding(now) {
            return false;
        }
        // The depth is unknown before the target's first answer, so only one request is sent.
        let has_capacity = self.answers > 0.0 && self.depth(now) + 1.0 <= max_depth;
        now >= self.started_at + self.backoff && (self.in_flight == 0 || has_capacity)
    }

    /// Returns the moving average of the response times.
    pub fn response_time(&self) -> Span {
        Span(self.response_us as u64)
    }

    /// Returns the estimated number of requests of all hosts at the target.
    pub fn depth(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |(at, report, own)| {
            let total = report.running + report.waiting;
            f64::from(total.saturating_sub(own)) * freshness(now, at)
        });
        others + f64::from(self.in_flight)
    }

    /// Returns the estimated response time of one more request, in microseconds.
    pub fn cost(&self, now: Instant, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let depth = self.depth(now);
        let queued = (depth + 1.0 - slots).max(0.0) / slots;
        self.work_us * self.slowdown(now) * (1.0 + queued + depth / slots / 2.0)
    }

    fn slowdown(&self, now: Instant) -> f64 {
        self.report.map_or(1.0, |(at, report, _)| {
            let slowdown = f64::from(report.slowdown_percent.max(1)) / 100.0;
            1.0 + (slowdown - 1.0) * freshness(now, at) / 2.0
        })
    }
}

/// Returns the fraction of a response time that the work would take at the target's usual speed.
fn work_fraction(report: Report) -> f64 {
    let slots = f64::from(report.slots.max(1));
    let running = slots / (slots + f64::from(report.waiting));
    running * 100.0 / f64::from(report.slowdown_percent.max(1))
}

fn freshness(now: Instant, at: Instant) -> f64 {
    let age = now.since(at).0 as f64 / REPORT_LIFETIME.0 as f64;
    (1.0 - age).max(0.0)
}
