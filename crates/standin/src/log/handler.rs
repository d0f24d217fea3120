use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ntex::http::{Method, Request, Response, StatusCode};
use ragwortrill_core::{number::Offset, time::Span};
use ragwortrill_platform::log::{
    Batch, Error, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_WAIT_MS, PATH, Query, ROW_OVERHEAD_BYTES,
};

use super::{Faults, store::Store};
use crate::{reply, server, watched::Watched};

/// Largest accepted body of an append.
const MAX_BODY_BYTES: usize = MAX_BATCH_BYTES + MAX_BATCH_ENTRIES * ROW_OVERHEAD_BYTES;

/// Handles the requests to the log service.
pub(crate) struct Handler(pub(crate) Watched<Store>);

impl server::Handler for Handler {
    type Connection = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        (!self.is_down()).then_some(())
    }

    async fn answer(self: Arc<Self>, mut request: Request) -> Response {
        self.0.change(|store| store.received_requests += 1);
        self.delay(|faults| faults.delay).await;
        if self.is_down() {
            return reply::disconnect(&request);
        }
        match (request.path(), request.method()) {
            (PATH, &Method::POST) => self.append(&mut request).await,
            (PATH, &Method::GET) => self.read(&request).await,
            (PATH, _) => reply::text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
            _ => reply::text(StatusCode::NOT_FOUND, format!("the only path is {PATH}")),
        }
    }
}

impl Handler {
    fn is_down(&self) -> bool {
        self.0.read(|store| store.faults.down)
    }

    /// Waits for the configured delay. Changes of the delay during the wait apply to it.
    async fn delay(&self, delay: impl Fn(&Faults) -> Span) {
        let start = Instant::now();
        let left = |faults: &Faults| match faults.down {
            true => Duration::ZERO,
            false => delay(faults).as_duration().saturating_sub(start.elapsed()),
        };
        loop {
            let faults = self.0.read(|store| store.faults.clone());
            let left = left(&faults);
            if left.is_zero() {
                return;
            }
            let changed = |store: &mut Store| (store.faults != faults).then_some(());
            let _ = tokio::time::timeout(left, self.0.until(changed)).await;
        }
    }

    async fn append(&self, request: &mut Request) -> Response {
        let body = match reply::body(request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let batch = match Batch::from_cbor(&body) {
            Ok(batch) => batch,
            Err(error @ Error::TooLarge { .. }) => {
                return reply::text(StatusCode::PAYLOAD_TOO_LARGE, error);
            }
            Err(error) => return reply::text(StatusCode::BAD_REQUEST, error),
        };
        let fields = reply::query(request);
        let number = |name: &str| fields.get(name).and_then(|text| text.parse().ok());
        let (timeline, after) = (number("timeline"), number("after"));
        if !self.0.read(|store| store.allows(timeline, after)) {
            return reply::text(StatusCode::PRECONDITION_FAILED, "another timeline or end");
        }
        let attempt = |store: &mut Store| {
            let lost = store.faults.lost_answers;
            let allowed = !store.faults.down && store.allow_append(Instant::now());
            let allowed = allowed && store.allows(timeline, after);
            let appended = allowed.then(|| store.append(&batch))?;
            store.faults.lost_answers = lost.saturating_sub(1);
            Some((appended, lost > 0))
        };
        let Some((appended, lost)) = self.0.change(attempt) else {
            return match self.is_down() {
                true => reply::disconnect(request),
                false => reply::text(
                    StatusCode::TOO_MANY_REQUESTS,
                    "the limit of appends per second is exceeded",
                ),
            };
        };
        self.delay(|faults| faults.answer_delay).await;
        if appended.duplicate {
            self.delay(|faults| faults.duplicate_answer_delay).await;
        }
        match lost {
            true => reply::disconnect(request),
            false => reply::cbor(StatusCode::OK, appended.receipt.to_cbor()),
        }
    }

    async fn read(&self, request: &Request) -> Response {
        let query = match parse(request) {
            Ok(query) => query,
            Err(reason) => return reply::text(StatusCode::BAD_REQUEST, reason),
        };
        let ready = self.0.until(|store| {
            let ready = store.faults.down || store.is_ready(query);
            ready.then_some(())
        });
        if query.wait_ms > 0 {
            let wait = Duration::from_millis(query.wait_ms);
            let _ = tokio::time::timeout(wait, ready).await;
        }
        let answer = |store: &Store| match store.faults.down {
            true => None,
            false => Some(store.page(query)),
        };
        match self.0.read(answer) {
            None => reply::disconnect(request),
            Some(Ok(page)) => reply::cbor(StatusCode::OK, page.to_cbor()),
            Some(Err(bounds)) => reply::cbor(StatusCode::GONE, bounds.to_cbor()),
        }
    }
}

fn parse(request: &Request) -> Result<Query, String> {
    let fields = reply::query(request);
    let number = |name: &str, absent: Option<u64>| match fields.get(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("the parameter {name} has {text:?} in place of a whole number")),
        None => absent.ok_or_else(|| format!("the parameter {name} is missing")),
    };
    Ok(Query {
        from: Offset(number("from", None)?),
        max: u32::try_from(number("max", None)?).unwrap_or(u32::MAX),
        wait_ms: number("wait_ms", Some(0))?.min(MAX_WAIT_MS),
    })
}
