use ragwortrill_core::time::Span;
use ragwortrill_platform::target::Load;

/// Behaviour of a target. All settings can be changed while the target runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// True to refuse requests whose epoch has no valid grant.
    pub checks_epoch: bool,
    /// Number of requests for which the target is cold after a start.
    pub cold_requests: u32,
    /// Time for which the target is cold after a start.
    pub cold_span: Span,
    /// Service time while the target is cold.
    pub cold_service_time: Span,
    /// Maximum number of open connections; further ones are closed on arrival.
    pub connections: usize,
    /// Version of the downloads' content, which is part of their ETag.
    pub content_version: u64,
    /// True to refuse new work and fail the health check.
    pub draining: bool,
    /// Key whose requests crash the target when they run.
    pub fatal_key: Option<String>,
    /// True to block runs from finishing, and downloads after their first chunk.
    pub hold: bool,
    /// True to refuse or abort requests whose deadline has passed.
    pub enforces_deadlines: bool,
    /// Time that the control interface takes to answer.
    pub control_time: Span,
    /// True to state in the answers to requests that the target leaves.
    pub is_leaving: bool,
    /// True to keep the highest received epoch across a restart.
    pub persists_epoch: bool,
    /// Requests per second that the target states in its answers as its limit.
    pub rate_limit: Option<String>,
    /// Seconds that the target states in each refusal with status 503 as `Retry-After`.
    pub retry_after: String,
    /// What the load report contains.
    pub report_mode: ReportMode,
    /// Time that a run takes.
    pub service_time: Span,
    /// True to refuse requests while all slots are occupied; false to let them wait.
    pub sheds: bool,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
}

/// What a load report contains.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportMode {
    /// The current load.
    #[default]
    Exact,
    /// Constant values, regardless of the load.
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
            cold_service_time: Span::ZERO,
            connections: 110,
            content_version: 1,
            draining: false,
            fatal_key: None,
            hold: false,
            enforces_deadlines: true,
            control_time: Span::ZERO,
            is_leaving: false,
            persists_epoch: false,
            rate_limit: None,
            retry_after: "1".to_owned(),
            report_mode: ReportMode::Exact,
            service_time: Span::ZERO,
            sheds: false,
            slots: 6,
        }
    }
}
