//! Names of the HTTP headers in requests of callers and in the responses to them.

/// Name of the caller. Queues divide capacity fairly between callers by it.
pub const CALLER: &str = "Ragwortrill-Caller";
/// Time that the sender allows for the request, in milliseconds.
pub const DEADLINE_MS: &str = "Ragwortrill-Deadline-Ms";
/// Version of a resource. A broken download is resumed only if the version is unchanged.
pub const ETAG: &str = "ETag";
/// Identifier of a request, the same for each of its retries.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Version of the resource for which `Range` applies.
pub const IF_RANGE: &str = "If-Range";
/// Key that determines the target.
pub const KEY: &str = "Ragwortrill-Key";
/// Part of a resource that is requested.
pub const RANGE: &str = "Range";
/// Identifier of the request, in each response and in requests to targets.
pub const REQUEST: &str = "Ragwortrill-Request";
/// Time after which a refused request may be retried, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
