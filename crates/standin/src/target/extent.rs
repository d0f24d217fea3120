use ntex::http::{Request, Response, StatusCode};
use ragwortrill_platform::headers;

use super::call::{name, value};
use crate::reply;

/// Byte range of a resource, from `start` up to but not including `end`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Extent {
    pub(crate) start: u64,
    pub(crate) end: u64,
}

/// Returns the requested range, or `None` if the whole resource is to be sent: without a range, or
/// with one that is malformed, multiple or for another version of the resource.
pub(crate) fn range(request: &Request, etag: &str, size: u64) -> Result<Option<Extent>, Response> {
    let condition = reply::header(request, headers::IF_RANGE);
    if condition.is_some_and(|condition| condition != etag) {
        return Ok(None);
    }
    let Some((start, end)) =
        reply::header(request, headers::RANGE).and_then(|text| parse(&text, size))
    else {
        return Ok(None);
    };
    if start < end.min(size) {
        let end = end.min(size);
        return Ok(Some(Extent { start, end }));
    }
    let mut response = reply::text(
        StatusCode::RANGE_NOT_SATISFIABLE,
        "the range is beyond the end of the resource",
    );
    let text = format!("bytes */{size}");
    response
        .headers_mut()
        .insert(name("Content-Range"), value(text));
    Err(response)
}

fn parse(text: &str, size: u64) -> Option<(u64, u64)> {
    let (start, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    match (start, last) {
        ("", last) => Some((size.saturating_sub(last.parse().ok()?), size)),
        (start, "") => Some((start.parse().ok()?, u64::MAX)),
        (start, last) => {
            let (start, last): (u64, u64) = (start.parse().ok()?, last.parse().ok()?);
            (start <= last).then_some((start, last.saturating_add(1)))
        }
    }
}
