//! What a host observes of one target's load.

use ragwortrill_core::time::{Instant, Span};

/// Age at which a load report counts for nothing.
const REPORT_LIFETIME: Span = Span::from_millis(1_000);
/// Shortest pause between requests that find a crowded target.
const MIN_BACKOFF: Span = Span::from_millis(50);
/// Longest such pause.
const MAX_BACKOFF: Span = Span::from_millis(5_000);
/// Weight of a new sample in the mean of response times.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Factor by which the mean of work times keeps its value over one sample.
const WORK_TIME_RETENTION: f64 = 0.92;
/// Time for which a target that was full gets nothing. It doubles each time, four times at most.
const MIN_SHED_BACKOFF: Span = Span::from_millis(25);
/// Response time assumed of a target that has answered nothing yet.
const INITIAL_RESPONSE_TIME: Span = Span::from_millis(100);

/// Time in which the count of a target's answers loses most of its weight.
const THROUGHPUT_WINDOW: Span = Span::from_millis(1_500);
/// Microseconds in a second.
const US_PER_SECOND: f64 = 1e6;

/// Load as a target reports it with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual.
    pub slowdown_percent: u32,
}

/// Load of one target.
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

/// Work times since they were last shared with the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Samples {
    /// Sum in microseconds.
    pub sum_us: f64,
    /// Number.
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
    /// Returns the number of this host's requests at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Notes that a request was sent.
    pub fn start(&mut self, now: Instant) {
        self.in_flight += 1;
        self.started_at = now;
    }

    /// Notes that a request ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes the time that an answer took, and the load that came with it.
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

    /// Returns the answers per second that this host gets: as it got them lately, or as its requests
    /// in flight promise.
    pub fn throughput(&self, now: Instant) -> f64 {
        let recent =
            self.answers * self.answers_weight(now) / (THROUGHPUT_WINDOW.0 as f64 / US_PER_SECOND);
        let expected = f64::from(self.in_flight) * US_PER_SECOND / self.response_us.max(1.0);
        recent.max(expected)
    }

    /// Returns the weight that the answers up to the last one still have.
    fn answers_weight(&self, now: Instant) -> f64 {
        let age = now.since(self.answered_at).0 as f64 / THROUGHPUT_WINDOW.0 as f64;
        (-age).exp()
    }

    /// Notes that the target did not run a request because it is full. Other hosts fill it too, so
    /// it gets nothing for a while.
    pub fn record_shed(&mut self, now: Instant) {
        let backoff = MIN_SHED_BACKOFF.scale(1 << self.sheds.min(4), 1);
        self.shed_until = now + backoff;
        self.sheds += 1;
        self.adapt_backoff(Some(self.response_time()));
    }

    /// Tells whether the target was full a moment ago.
    pub fn is_shedding(&self, now: Instant) -> bool {
        now < self.shed_until
    }

    /// Notes work times, the own or those of another host.
    pub fn add_samples(&mut self, samples: Samples) {
        if samples.count > 0 {
            let mean = samples.sum_us / f64::from(samples.count);
            let kept = WORK_TIME_RETENTION.powi(samples.count as i32);
            self.work_us = mean + (self.work_us - mean) * kept;
        }
    }

    /// Returns the work times that were not shared yet.
    pub fn take_samples(&mut self) -> Samples {
        std::mem::take(&mut self.samples)
    }

    /// Returns the mean time of a request's work on an idle target, in microseconds.
    pub fn work_time_us(&self) -> f64 {
        self.work_us
    }

    /// Notes a report that came with an answer to one of this host's requests, which still counts
    /// as in flight.
    pub fn record_report(&mut self, now: Instant, report: Report) {
        let own = self.in_flight.saturating_sub(1);
        self.report = Some((now, report, own));
        let is_crowded = report.waiting > report.slots;
        self.adapt_backoff(is_crowded.then(|| now.since(self.started_at)));
    }

    /// Lengthens the pause before the next request to `least` at least if the target was found
    /// crowded, and shortens it otherwise, if this host has one request at the target at most.
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

    /// Tells whether the target takes one more request of this host, if it may have `depth`
    /// requests of all hosts.
    ///
    /// A report tells of the moment of an answer only. It answers for a busy owner of keys that many
    /// hosts share: if each sent its next request as soon as it had none there, they would be more
    /// than the owner serves, and all late. The pause of each grows while it finds the owner
    /// crowded, so that all together send what it serves.
    pub fn has_room(&self, now: Instant, max_depth: f64) -> bool {
        if self.is_shedding(now) {
            return false;
        }
        // Nothing is known of a target before its first answer.
        let has_capacity = self.answers > 0.0 && self.depth(now) + 1.0 <= max_depth;
        now >= self.started_at + self.backoff && (self.in_flight == 0 || has_capacity)
    }

    /// Returns the mean response time.
    pub fn response_time(&self) -> Span {
        Span(self.response_us as u64)
    }

    /// Returns the estimated number of requests at the target, of all hosts.
    pub fn depth(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |(at, report, own)| {
            let total = report.running + report.waiting;
            f64::from(total.saturating_sub(own)) * freshness(now, at)
        });
        others + f64::from(self.in_flight)
    }

    /// Returns the estimated time until one more request would be answered, in microseconds.
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

/// Returns the part of a response time that was work at the target's usual pace.
fn work_fraction(report: Report) -> f64 {
    let slots = f64::from(report.slots.max(1));
    let running = slots / (slots + f64::from(report.waiting));
    running * 100.0 / f64::from(report.slowdown_percent.max(1))
}

fn freshness(now: Instant, at: Instant) -> f64 {
    let age = now.since(at).0 as f64 / REPORT_LIFETIME.0 as f64;
    (1.0 - age).max(0.0)
}
