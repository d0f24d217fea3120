use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use ntex::http::{Method, Request, Response, StatusCode};
use ragwortrill_core::{number::Offset, time::Span};
use ragwortrill_platform::log::{
    Batch, Bounds, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_WAIT_MS, PATH, Page, Query,
    ROW_OVERHEAD_BYTES, Receipt, Row,
};

use super::{Faults, store::Store};
use crate::{reply, server, watched::Watched};

/// Largest body of an append, in bytes.
const MAX_BODY_BYTES: usize = MAX_BATCH_BYTES + MAX_BATCH_ENTRIES * ROW_OVERHEAD_BYTES;

/// A log service on a free port of the loopback interface. It ends when it is dropped.
pub struct Server {
    server: server::Server,
    site: Arc<Site>,
}

struct Site(Watched<Store>);

impl Server {
    /// Starts an empty log service.
    pub fn start() -> io::Result<Self> {
        let site = Arc::new(Site(Watched::new(Store::default())));
        let server = server::Server::start(server::listen()?, site.clone())?;
        Ok(Self { server, site })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults. They hold from the next step of each request on.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.site.0.change(|store| {
            change(&mut store.faults);
            store.expire();
        });
    }

    /// Returns the faults.
    pub fn faults(&self) -> Faults {
        self.site.0.read(|store| store.faults.clone())
    }

    /// Returns the retained offsets.
    pub fn bounds(&self) -> Bounds {
        self.site.0.read(Store::bounds)
    }

    /// Returns the retained records, regardless of faults.
    pub fn rows(&self) -> Vec<Row> {
        self.rows_from(Offset(0))
    }

    /// Returns the retained records from an offset on, as many as fit into an answer.
    pub fn rows_from(&self, from: Offset) -> Vec<Row> {
        let query = Query {
            from,
            max: u32::MAX,
            wait_ms: 0,
        };
        let page = |store: &Store| store.page(query).map(|page| page.records);
        self.site.0.read(page).unwrap_or_default()
    }

    /// Appends a batch, regardless of faults.
    pub fn append(&self, batch: &Batch) -> Receipt {
        self.site.0.change(|store| store.append(batch).receipt)
    }

    /// Blocks until the log reaches an offset. Returns false when `limit` has passed.
    pub fn wait(&self, limit: Duration, end: Offset) -> bool {
        self.site.0.wait(limit, |store| store.bounds().end >= end)
    }

    /// Waits until the service has received a number of requests since its start.
    pub async fn until_received(&self, requests: u64) {
        let reached = |store: &mut Store| (store.received >= requests).then_some(());
        self.site.0.until(reached).await;
    }

    /// Waits until the log reaches an offset.
    pub async fn until_end(&self, end: Offset) {
        let reached = |store: &mut Store| (store.bounds().end >= end).then_some(());
        self.site.0.until(reached).await;
    }

    /// Ends the service. All connections break.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

impl server::Site for Site {
    type Connection = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        (!self.is_down()).then_some(())
    }

    async fn answer(self: Arc<Self>, mut request: Request) -> Response {
        self.0.change(|store| store.received += 1);
        self.delay(|faults| faults.delay).await;
        if self.is_down() {
            return reply::hang_up(&request);
        }
        match (request.path(), request.method()) {
            (PATH, &Method::POST) => self.append(&mut request).await,
            (PATH, &Method::GET) => self.read(&request).await,
            (PATH, _) => reply::text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
            _ => reply::text(StatusCode::NOT_FOUND, format!("the only path is {PATH}")),
        }
    }
}

impl Site {
    fn is_down(&self) -> bool {
        self.0.read(|store| store.faults.down)
    }

    /// Waits for as long as the faults say. A shorter delay set meanwhile ends the wait early.
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
            Err(error @ ragwortrill_platform::log::Error::TooLarge { .. }) => {
                return reply::text(StatusCode::PAYLOAD_TOO_LARGE, error);
            }
            Err(error) => return reply::text(StatusCode::BAD_REQUEST, error),
        };
        let attempt = |store: &mut Store| {
            let lost = store.faults.lost_answers;
            let allowed = !store.faults.down && store.take(Instant::now());
            let appended = allowed.then(|| store.append(&batch))?;
            store.faults.lost_answers = lost.saturating_sub(1);
            Some((appended, lost > 0))
        };
        let Some((appended, lost)) = self.0.change(attempt) else {
            return match self.is_down() {
                true => reply::hang_up(request),
                false => reply::text(StatusCode::TOO_MANY_REQUESTS, "too many appends a second"),
            };
        };
        self.delay(|faults| faults.answer_delay).await;
        if appended.duplicate {
            self.delay(|faults| faults.duplicate_answer_delay).await;
        }
        match lost {
            true => reply::hang_up(request),
            false => reply::cbor(StatusCode::OK, appended.receipt.to_cbor()),
        }
    }

    async fn read(&self, request: &Request) -> Response {
        let query = match parse(request) {
            Ok(query) => query,
            Err(reason) => return reply::text(StatusCode::BAD_REQUEST, reason),
        };
        let due = self.0.until(|store| {
            let due = store.faults.down || store.is_due(query);
            due.then_some(())
        });
        if query.wait_ms > 0 {
            let wait = Duration::from_millis(query.wait_ms);
            let _ = tokio::time::timeout(wait, due).await;
        }
        let answer = |store: &Store| match store.faults.down {
            true => None,
            false => Some(store.page(query)),
        };
        match self.0.read(answer) {
            None => reply::hang_up(request),
            Some(Ok(page)) => reply::cbor(StatusCode::OK, Page::to_cbor(&page)),
            Some(Err(bounds)) => reply::cbor(StatusCode::GONE, bounds.to_cbor()),
        }
    }
}

fn parse(request: &Request) -> Result<Query, String> {
    let fields = reply::query(request);
    let number = |name: &str, absent: Option<u64>| match fields.get(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("{name}={text:?} is no number")),
        None => absent.ok_or_else(|| format!("the parameter {name} is missing")),
    };
    Ok(Query {
        from: Offset(number("from", None)?),
        max: u32::try_from(number("max", None)?).unwrap_or(u32::MAX),
        wait_ms: number("wait_ms", Some(0))?.min(MAX_WAIT_MS),
    })
}
