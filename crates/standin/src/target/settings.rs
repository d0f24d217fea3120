use ragwortrill_core::time::Span;
use ragwortrill_platform::target::Load;

/// Behaviour of a target. All of it can be changed while the target runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// True to refuse requests without a current grant for their epoch.
    pub checks_epoch: bool,
    /// Number of requests for which the target is cold after a start.
    pub cold_requests: u32,
    /// Time for which the target is cold after a start.
    pub cold_span: Span,
    /// Service time while the target is cold.
    pub cold_time: Span,
    /// Connections above this number are closed at once.
    pub connections: usize,
    /// Version of the downloads' content, part of their ETag.
    pub content: u64,
    /// True to refuse new work and fail the health check.
    pub draining: bool,
    /// Key whose requests crash the target when they run.
    pub fatal_key: Option<String>,
    /// True to keep each run from ending, and each download after its first chunk.
    pub hold: bool,
    /// True to stop work whose deadline has passed.
    pub enforces_deadlines: bool,
    /// Time that the control side takes to answer.
    pub probe_time: Span,
    /// True to remember the highest epoch across a restart.
    pub remembers_epoch: bool,
    /// What the load report says.
    pub report: Report,
    /// Time that a run takes.
    pub service_time: Span,
    /// True to refuse requests above the slots; false to let them wait.
    pub sheds: bool,
    /// Requests that run at the same time.
    pub slots: usize,
}

/// What a load report says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Report {
    /// The present load.
    #[default]
    Exact,
    /// The same numbers regardless of the load.
    Fixed(Load),
    /// The load as it was some time ago.
    Lagging(Span),
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            checks_epoch: true,
            cold_requests: 0,
            cold_span: Span::ZERO,
            cold_time: Span::ZERO,
            connections: 110,
            content: 1,
            draining: false,
            fatal_key: None,
            hold: false,
            enforces_deadlines: true,
            probe_time: Span::ZERO,
            remembers_epoch: false,
            report: Report::Exact,
            service_time: Span::ZERO,
            sheds: false,
            slots: 6,
        }
    }
}
