use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use ragwortrill_core::number::Offset;
use ragwortrill_platform::log::{Batch, Bounds, Query, Receipt, Row};

use super::{Faults, handler::Handler, store::Store};
use crate::{server, watched::Watched};

/// A log service on the loopback interface. Dropping it stops the server.
pub struct Server {
    server: server::Server,
    handler: Arc<Handler>,
}

impl Server {
    /// Starts an empty log service on a free port.
    pub fn start() -> io::Result<Self> {
        Self::serve(server::listen()?)
    }

    /// Starts an empty log service on an address.
    pub fn start_at(address: SocketAddr) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?)
    }

    fn serve(listener: TcpListener) -> io::Result<Self> {
        let handler = Arc::new(Handler(Watched::new(Store::default())));
        let server = server::Server::start(listener, handler.clone())?;
        Ok(Self { server, handler })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults, with effect on the next step of each request, open ones included.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.handler.0.change(|store| {
            change(&mut store.faults);
            store.expire();
        });
    }

    /// Returns the faults that are injected now.
    pub fn faults(&self) -> Faults {
        self.handler.0.read(|store| store.faults.clone())
    }

    /// Returns the first and the last retained offset.
    pub fn bounds(&self) -> Bounds {
        self.handler.0.read(Store::bounds)
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
        self.handler.0.read(page).unwrap_or_default()
    }

    /// Keeps a copy of all records.
    pub fn save_copy(&self) {
        self.handler.0.change(Store::save_copy);
    }

    /// Restores the log from the copy.
    pub fn restore(&self) {
        self.handler.0.change(Store::restore);
    }

    /// Appends a batch, regardless of faults.
    pub fn append(&self, batch: &Batch) -> Receipt {
        self.handler.0.change(|store| store.append(batch).receipt)
    }

    /// Blocks until the log reaches an offset. Returns false when `limit` has passed.
    pub fn wait(&self, limit: Duration, end: Offset) -> bool {
        self.handler
            .0
            .wait(limit, |store| store.bounds().end >= end)
    }

    /// Waits until the service has received a number of requests since its start.
    pub async fn until_received(&self, requests: u64) {
        let reached = |store: &mut Store| (store.received_requests >= requests).then_some(());
        self.handler.0.until(reached).await;
    }

    /// Waits until the log reaches an offset.
    pub async fn until_end(&self, end: Offset) {
        let reached = |store: &mut Store| (store.bounds().end >= end).then_some(());
        self.handler.0.until(reached).await;
    }

    /// Stops the service and closes all connections.
    pub fn stop(mut self) {
        self.server.stop();
    }
}
