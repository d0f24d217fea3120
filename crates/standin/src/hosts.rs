//! Fake of the platform's host list, with a list and faults that are set at run time.

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

/// Number of earlier lists that are kept for a lagging answer.
const MAX_HISTORY: usize = 1_000;

/// A host list on a free port of the loopback interface. It ends when it is dropped.
pub struct Server {
    server: server::Server,
    site: Arc<Site>,
}

/// Faults of the host list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// True to close all connections without an answer.
    pub down: bool,
    /// Age of the list that is answered.
    pub lag: Span,
}

struct Site(Watched<State>);

struct State {
    faults: Faults,
    lists: Vec<(Instant, Vec<Host>)>,
}

impl State {
    /// Returns the list as it was `lag` ago. The first list counts as older than any lag.
    fn list(&self, now: Instant) -> &[Host] {
        let lag = self.faults.lag.as_duration();
        let is_old = |set: &Instant| now.saturating_duration_since(*set) >= lag;
        let old = self.lists.iter().rev().find(|(set, _)| is_old(set));
        old.or(self.lists.first()).map_or(&[], |list| &list.1)
    }
}

impl Server {
    /// Starts a host list.
    pub fn start(list: Vec<Host>) -> io::Result<Self> {
        Self::serve(server::listen()?, list)
    }

    /// Starts a host list on an address of the loopback interface.
    pub fn start_at(address: SocketAddr, list: Vec<Host>) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, list)
    }

    fn serve(listener: TcpListener, list: Vec<Host>) -> io::Result<Self> {
        let state = State {
            faults: Faults::default(),
            lists: vec![(Instant::now(), list)],
        };
        let site = Arc::new(Site(Watched::new(state)));
        let server = server::Server::start(listener, site.clone())?;
        Ok(Self { server, site })
    }

    /// Returns the address of the host list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list. Answers follow after the lag.
    pub fn set(&self, list: Vec<Host>) {
        self.site.0.change(|state| {
            state.lists.push((Instant::now(), list));
            let surplus = state.lists.len().saturating_sub(MAX_HISTORY);
            state.lists.drain(..surplus);
        });
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.site.0.change(|state| change(&mut state.faults));
    }

    /// Ends the host list. All connections break.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

impl server::Site for Site {
    type Connection = ();

    fn admit(self: &Arc<Self>) -> Option<()> {
        self.0.read(|state| (!state.faults.down).then_some(()))
    }

    async fn answer(self: Arc<Self>, request: Request) -> Response {
        if self.admit().is_none() {
            return reply::hang_up(&request);
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
