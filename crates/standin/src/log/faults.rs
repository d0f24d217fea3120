use ragwortrill_core::time::Span;

/// Faults that the log service injects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Delay between storing an append and answering it.
    pub answer_delay: Span,
    /// Appends stored per second; further ones are refused. `None` sets no limit.
    pub appends_per_second: Option<u32>,
    /// Delay before each request is handled.
    pub delay: Span,
    /// True to close connections without handling their requests.
    pub down: bool,
    /// Additional delay of the answer to an append that repeats an identifier.
    pub duplicate_answer_delay: Span,
    /// Number of next appends that are stored but not answered.
    pub lost_answers: u32,
    /// Number of records kept; older ones are dropped. `None` keeps all.
    pub retained: Option<usize>,
}
