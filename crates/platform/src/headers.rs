//! Names of the HTTP headers that callers send and receive.

/// Caller's name, by which the queues are fair between callers.
pub const CALLER: &str = "Ragwortrill-Caller";
/// Time that the sender allows for the request, in milliseconds.
pub const DEADLINE_MS: &str = "Ragwortrill-Deadline-Ms";
/// Version of a resource. A download is resumed only while it stays the same.
pub const ETAG: &str = "ETag";
/// Identity of a request, the same for each retry.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Condition under which `Range` applies.
pub const IF_RANGE: &str = "If-Range";
/// Key that determines the target.
pub const KEY: &str = "Ragwortrill-Key";
/// Part of a resource that is asked for.
pub const RANGE: &str = "Range";
/// Identifier of the request, in each answer and in requests to targets.
pub const REQUEST: &str = "Ragwortrill-Request";
/// Time after which a refused request may be retried, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";
/// Trace context of W3C.
pub const TRACEPARENT: &str = "traceparent";
