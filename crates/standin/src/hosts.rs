//! Stand-in of the platform's host list, with a list and faults that are set at run time.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Instant,
};

use ntex::http::{Method, Request, Response, StatusCode};
use ragwortrill_core::time::Span;
use ragwortrill_platform::hosts::{Host, PATH};

use crate::{reply, server, watched::Watched};

/// Number of lists kept, so that a lagging answer can return an earlier one.
const MAX_HISTORY: usize = 1_000;

/// A host list server on the loopback interface. Dropping it stops the server.
pub struct Server {
    server: server::Server,
    handler: Arc<Handler>,
}

/// Faults that the host list injects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// True to close connections without an answer.
    pub down: bool,
    /// Age of the list that answers contain.
    pub lag: Span,
}

struct Handler(Watched<State>);

struct State {
    faults: Faults,
    lists: Vec<(Instant, Vec<Host>)>,
}

impl State {
    /// Returns the list as it was `lag` ago, or the oldest list if none is that old.
    fn list(&self, now: Instant) -> &[Host] {
        let lag = self.faults.lag.as_duration();
        let is_old = |set: &Instant| now.saturating_duration_since(*set) >= lag;
        let old = self.lists.iter().rev().find(|(set, _)| is_old(set));
        old.or(self.lists.first()).map_or(&[], |list| &list.1)
    }
}

impl Server {
    /// Starts a server with a list, on a free port.
    pub fn start(list: Vec<Host>) -> io::Result<Self> {
        Self::serve(server::listen()?, list)
    }

    /// Starts a server with a list, on an address.
    pub fn start_at(address: SocketAddr, list: Vec<Host>) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, list)
    }

    fn serve(listener: TcpListener, list: Vec<Host>) -> io::Result<Self> {
        let state = State {
            faults: Faults::default(),
            lists: vec![(Instant::now(), list)],
        };
        let handler = Arc::new(Handler(Watched::new(state)));
        let server = server::Server::start(listener, handler.clone())?;
        Ok(Self { server, handler })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list. Answers contain it once the lag has passed.
    pub fn set(&self, list: Vec<Host>) {
        self.handler.0.change(|state| {
            state.lists.push((Instant::now(), list));
            let surplus = state.lists.len().saturating_sub(MAX_HISTORY);
            state.lists.drain(..surplus);
        });
    }

    /// Changes the faults, with effect on later requests.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.handler.0.change(|state| change(&mut state.faults));
    }

    /// Stops the server and closes all connections.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

impl server::Handler for Handler {
    type Connection = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        self.0.read(|state| (!state.faults.down).then_some(()))
    }

    async fn answer(self: Arc<Self>, request: Request) -> Response {
        if self.admit().is_none() {
            return reply::disconnect(&request);
        }
        match (request.path(), request.method()) {
            (PATH, &Method::GET) => {
                let list = self.0.read(|state| state.list(Instant::now()).to_vec());
                reply::json(StatusCode::OK, &list)
            }
            (PATH, _) => reply::text(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
            _ => reply::text(StatusCode::NOT_FOUND, format!("the only path is {PATH}")),
        }
    }
}
