use ragwortrill_core::time::Span;

/// Faults of the log service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Delay between an append's effect and its answer.
    pub answer_delay: Span,
    /// Appends that take effect in a second; the others are refused. None sets no limit.
    pub appends_per_second: Option<u32>,
    /// Delay before each request takes effect.
    pub delay: Span,
    /// True to close all connections without an answer. No request takes effect.
    pub down: bool,
    /// Further delay of the answer to an append that repeats an identifier.
    pub duplicate_answer_delay: Span,
    /// Number of the next appends that take effect but get no answer.
    pub lost_answers: u32,
    /// Number of records that are kept; the oldest are dropped. None keeps all.
    pub retained: Option<usize>,
}
