//! Metrics of an entry host.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use ragwortrill_core::time::Span;
use ragwortrill_router::retry::Outcome;

use crate::{exporter::Exporter, follow::Topic, replica::Replica, shared::Shared};

/// Counters, histograms and gauges of a host.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    duration: Histogram<f64>,
    wait: Histogram<f64>,
    hold: Histogram<f64>,
    failures: Counter<u64>,
    attempts: Counter<u64>,
    store: Counter<u64>,
    orders: Counter<u64>,
    limited: Counter<u64>,
    forwarded: Counter<u64>,
    reports: Counter<u64>,
    report_bytes: Counter<u64>,
    answers: Counter<u64>,
    answer_bytes: Counter<u64>,
    surveys: Counter<u64>,
    questions: Counter<u64>,
    declined: Counter<u64>,
    probes: Counter<u64>,
    gauges: Gauges,
}

/// Way by which a request gets to its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// Sent as it arrived.
    First,
    /// Sent after it waited in the queue.
    Queued,
    /// Sent after an earlier attempt.
    Retried,
}

/// For whom a target is probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Prober {
    /// This host.
    Own,
    /// Another host, which asked.
    Other,
}

/// Gauges, which are updated when the metrics page is requested.
#[derive(Debug)]
struct Gauges {
    waiting: Gauge<u64>,
    surveys: Gauge<u64>,
    requests: Gauge<u64>,
    held: Gauge<u64>,
    callers: Gauge<u64>,
    hosts: Gauge<u64>,
    targets: Gauge<u64>,
    endpoints: Gauge<u64>,
    unowned: Gauge<u64>,
    limited: Gauge<u64>,
    leaving: Gauge<u64>,
    paused: Gauge<u64>,
    version: Gauge<u64>,
    timeline: Gauge<u64>,
    age: Gauge<f64>,
    lag: Gauge<f64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let count = |name, description| {
            let counter = meter.u64_counter(name).with_description(description);
            counter.build()
        };
        let bytes = |name, description| {
            let counter = meter.u64_counter(name).with_unit("By");
            counter.with_description(description).build()
        };
        let seconds = |name, description| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram.with_description(description).build()
        };
        Ok(Self {
            duration: seconds(
                "http.server.request.duration",
                "Time from a request's arrival to its answer",
            ),
            wait: seconds(
                "ragwortrill.queue.wait",
                "Time that requests waited for a place at a target",
            ),
            hold: seconds(
                "ragwortrill.reply.hold",
                "Time that replies waited for earlier replies of their connections",
            ),
            failures: count(
                "ragwortrill.failures",
                "Requests that the host answered itself, by status and reason",
            ),
            attempts: count(
                "ragwortrill.attempts",
                "Requests sent to targets, by outcome",
            ),
            store: count(
                "ragwortrill.store.calls",
                "Calls to the platform's store, by path and result",
            ),
            orders: count(
                "ragwortrill.orders",
                "Grants and releases of keys, by answer",
            ),
            limited: count(
                "ragwortrill.limited.requests",
                "Requests sent to targets that state a rate limit, by way",
            ),
            forwarded: count(
                "ragwortrill.forwarded.requests",
                "Requests sent through another host, since the links to their targets are lost",
            ),
            reports: count(
                "ragwortrill.relay.reports",
                "Reports of other hosts that this host has read as leader",
            ),
            report_bytes: bytes(
                "ragwortrill.relay.report",
                "Bytes of the reports of other hosts",
            ),
            answers: count(
                "ragwortrill.relay.answers",
                "Answers of this host as leader to reports of other hosts",
            ),
            answer_bytes: bytes(
                "ragwortrill.relay.answer",
                "Bytes of the answers to reports of other hosts",
            ),
            surveys: count(
                "ragwortrill.surveys",
                "Surveys of targets that this host can't reach",
            ),
            questions: count(
                "ragwortrill.questions",
                "Questions to other hosts whether they reach a target",
            ),
            declined: count(
                "ragwortrill.questions.declined",
                "Questions of other hosts that were answered without a probe, since too many came",
            ),
            probes: count(
                "ragwortrill.probes",
                "Connections that show whether a target is reached, by host that asks",
            ),
            gauges: Gauges::new(&meter),
            exporter,
        })
    }

    pub(crate) fn record_response(&self, status: u16, elapsed: Span) {
        let status = KeyValue::new("http.response.status_code", i64::from(status));
        self.duration.record(elapsed.as_secs_f64(), &[status]);
    }

    pub(crate) fn record_forwarded(&self) {
        self.forwarded.add(1, &[]);
    }

    pub(crate) fn record_report(&self, bytes: usize) {
        self.reports.add(1, &[]);
        self.report_bytes.add(bytes as u64, &[]);
    }

    pub(crate) fn record_report_answer(&self, bytes: usize) {
        self.answers.add(1, &[]);
        self.answer_bytes.add(bytes as u64, &[]);
    }

    pub(crate) fn record_survey(&self) {
        self.surveys.add(1, &[]);
    }

    pub(crate) fn record_questions(&self, count: usize) {
        self.questions.add(count as u64, &[]);
    }

    pub(crate) fn record_declined_question(&self) {
        self.declined.add(1, &[]);
    }

    pub(crate) fn record_probe(&self, prober: Prober) {
        let prober = match prober {
            Prober::Own => "own",
            Prober::Other => "other",
        };
        self.probes.add(1, &[KeyValue::new("for", prober)]);
    }

    pub(crate) fn record_wait(&self, elapsed: Span) {
        self.wait.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn record_hold(&self, elapsed: Span) {
        self.hold.record(elapsed.as_secs_f64(), &[]);
    }

    pub(crate) fn record_failure(&self, status: u16, reason: &'static str) {
        let status = KeyValue::new("http.response.status_code", i64::from(status));
        self.failures
            .add(1, &[status, KeyValue::new("error.type", reason)]);
    }

    pub(crate) fn record_attempt(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Success => "success",
            Outcome::Failure => "failure",
            Outcome::NotRun => "not-run",
            Outcome::Misdirected => "misdirected",
            Outcome::NotSent => "not-sent",
            Outcome::Unknown => "unknown",
        };
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_store_call(&self, path: &str, result: &'static str) {
        let path = path.split('?').next().unwrap_or_default().to_owned();
        self.store.add(
            1,
            &[
                KeyValue::new("url.path", path),
                KeyValue::new("result", result),
            ],
        );
    }

    pub(crate) fn record_order(&self, verb: &'static str, answer: &'static str) {
        self.orders.add(
            1,
            &[
                KeyValue::new("order", verb),
                KeyValue::new("answer", answer),
            ],
        );
    }

    pub(crate) fn record_limited(&self, way: Way) {
        let way = match way {
            Way::First => "first",
            Way::Queued => "queued",
            Way::Retried => "retry",
        };
        self.limited.add(1, &[KeyValue::new("way", way)]);
    }

    /// Updates the gauges and returns all metrics as a Prometheus text page.
    pub(crate) fn page(&self, shared: &Shared) -> Vec<u8> {
        self.gauges.update(shared);
        self.exporter.page()
    }
}

impl Gauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name, description| {
            let gauge = meter.u64_gauge(name).with_description(description);
            gauge.build()
        };
        Self {
            waiting: gauge("ragwortrill.queue.length", "Requests that wait for a place"),
            surveys: gauge(
                "ragwortrill.surveys.waiting",
                "Surveys that wait for others",
            ),
            requests: gauge("ragwortrill.requests.active", "Requests without an answer"),
            held: gauge(
                "ragwortrill.replies.held",
                "Replies that wait for earlier replies of their connections",
            ),
            callers: gauge("ragwortrill.callers", "Open connections of callers"),
            hosts: gauge("ragwortrill.hosts", "Hosts of the system"),
            targets: gauge("ragwortrill.targets", "Known targets"),
            endpoints: gauge(
                "ragwortrill.endpoints",
                "Incarnations of targets whose local state is kept",
            ),
            unowned: gauge(
                "ragwortrill.ranges.moving",
                "Ranges of keys without an owner",
            ),
            limited: gauge(
                "ragwortrill.targets.limited",
                "Targets that state a rate limit",
            ),
            leaving: gauge(
                "ragwortrill.targets.leaving",
                "Targets that state that they leave",
            ),
            paused: gauge(
                "ragwortrill.targets.paused",
                "Targets that want nothing from this host for a time",
            ),
            timeline: gauge(
                "ragwortrill.store.timeline",
                "Number of times that the store was restored from a copy",
            ),
            version: gauge("ragwortrill.config.version", "Version of the configuration"),
            age: meter
                .f64_gauge("ragwortrill.store.age")
                .with_unit("s")
                .with_description(
                    "Age of what this host knows of the store, by topic; -1 if it knows nothing",
                )
                .build(),
            lag: meter
                .f64_gauge("ragwortrill.loop.lag")
                .with_unit("s")
                .with_description("Largest recent delay of the event loop")
                .build(),
        }
    }

    fn update(&self, shared: &Shared) {
        self.waiting.record(shared.queue.borrow().len() as u64, &[]);
        let surveys = shared.surveys.borrow().waiting();
        self.surveys.record(surveys as u64, &[]);
        let active = &shared.active_requests;
        self.requests.record(active.len() as u64, &[]);
        self.held.record(active.held() as u64, &[]);
        self.callers
            .record(u64::from(shared.caller_connections.get()), &[]);
        self.hosts.record(shared.hosts.borrow().len() as u64, &[]);
        let targets = shared.fleet.borrow().targets().len();
        self.targets.record(targets as u64, &[]);
        let assignments = shared.assignments.borrow();
        let ranges = assignments
            .values()
            .flat_map(|assignment| &assignment.ranges);
        self.unowned
            .record(ranges.filter(|range| !range.is_held()).count() as u64, &[]);
        let now = shared.now();
        let endpoints = shared.endpoints.borrow();
        self.endpoints.record(endpoints.len() as u64, &[]);
        let limited = endpoints
            .values()
            .filter(|endpoint| endpoint.rate_limit.rate(now).is_some());
        self.limited.record(limited.count() as u64, &[]);
        let paused = endpoints.values().filter_map(|e| e.pause.left(now));
        self.paused.record(paused.count() as u64, &[]);
        drop(endpoints);
        let leaving = shared.fleet.borrow().leaving().count();
        self.leaving.record(leaving as u64, &[]);
        let config = shared.config.borrow();
        let version = config.as_ref().map_or(0, |config| config.version.0);
        self.version.record(version, &[]);
        self.lag.record(shared.recent_lag().as_secs_f64(), &[]);
        let timeline = shared.timeline.get().unwrap_or_default();
        self.timeline.record(timeline.0, &[]);
        for topic in Topic::ALL {
            let replicas = shared.replicas.borrow();
            let is_read = |replica: &&Replica| replica.next_offset().is_some();
            let replica = replicas.get(&topic).filter(is_read);
            let read_at = replica.map(Replica::read_at);
            let age = read_at.map_or(-1.0, |at| now.since(at).as_secs_f64());
            self.age
                .record(age, &[KeyValue::new("topic", topic.label())]);
        }
    }
}
