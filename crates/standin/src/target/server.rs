use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use ragwortrill_core::name;

use super::{Counts, Settings, handler::Handler, state::State};
use crate::{server, watched::Watched};

/// A target on the loopback interface. Dropping it stops the target.
pub struct Server {
    address: SocketAddr,
    server: Option<server::Server>,
    handler: Arc<Handler>,
}

impl Server {
    /// Starts a cold target on a free port.
    pub fn start(name: name::Target, settings: Settings) -> io::Result<Self> {
        Self::serve(server::listen()?, name, settings)
    }

    /// Starts a cold target on an address.
    pub fn start_at(
        address: SocketAddr,
        name: name::Target,
        settings: Settings,
    ) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, name, settings)
    }

    fn serve(listener: TcpListener, name: name::Target, settings: Settings) -> io::Result<Self> {
        let handler = Arc::new(Handler {
            name,
            state: Watched::new(State::new(settings)),
            owner: Mutex::new(None),
        });
        let server = server::Server::start(listener, handler.clone())?;
        Ok(Self {
            address: server.address(),
            server: Some(server),
            handler,
        })
    }

    /// Returns the address that the target listens on. It stays the same across restarts.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target's name in the table.
    pub fn name(&self) -> &name::Target {
        &self.handler.name
    }

    /// Returns a copy of the settings.
    pub fn settings(&self) -> Settings {
        self.handler.state.read(|state| state.settings.clone())
    }

    /// Changes the settings, with effect on the next step of each request, running ones included.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        self.handler
            .state
            .change(|state| change(&mut state.settings));
    }

    /// Sets the function that returns the recorded owner of a key, for the wrong-owner counters.
    pub fn set_owner(&self, owner: impl Fn(&str) -> Option<name::Target> + Send + Sync + 'static) {
        let current = self.handler.owner.lock();
        *current.unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(owner));
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> Counts {
        self.handler.state.read(|state| state.counts.clone())
    }

    /// Returns the random number chosen at the last cold start.
    pub fn start_id(&self) -> u64 {
        self.handler.state.read(|state| state.start_id)
    }

    /// Suspends all activity. Connections stay open, and arriving requests wait.
    pub fn freeze(&self) {
        self.handler.state.change(|state| state.frozen = true);
    }

    /// Resumes a frozen target. Requests that arrived meanwhile are handled as if they arrived now.
    pub fn resume(&self) {
        self.handler.state.change(|state| state.frozen = false);
    }

    /// Makes the target cold, with a new start id, without a restart.
    pub fn make_cold(&self) {
        self.handler.state.change(State::become_cold);
    }

    /// Closes the listener and all connections, and aborts all work.
    pub fn crash(&mut self) {
        self.handler.state.change(State::crash);
        self.server.take();
    }

    /// Returns whether the target has crashed and was not restarted.
    pub fn is_crashed(&self) -> bool {
        self.handler.state.read(|state| state.crashed)
    }

    /// Restarts the target, cold and on the same address. Crashes it first if it runs.
    pub fn restart(&mut self) -> io::Result<()> {
        self.crash();
        let listener = TcpListener::bind(self.address)?;
        self.handler.state.change(|state| {
            state.frozen = false;
            state.start_cold();
        });
        self.server = Some(server::Server::start(listener, self.handler.clone())?);
        Ok(())
    }

    /// Waits until the counters meet a condition.
    pub async fn until(&self, mut holds: impl FnMut(&Counts) -> bool) {
        let held = |state: &mut State| holds(&state.counts).then_some(());
        self.handler.state.until(held).await;
    }

    /// Waits until the target has crashed.
    pub async fn until_crashed(&self) {
        server::Handler::ended(&*self.handler).await;
    }

    /// Blocks until the counters meet a condition. Returns false when `limit` has passed.
    pub fn wait(&self, limit: Duration, mut holds: impl FnMut(&Counts) -> bool) -> bool {
        self.handler.state.wait(limit, |state| holds(&state.counts))
    }

    /// Stops the target and closes all connections.
    pub fn stop(mut self) {
        self.server.take();
    }
}
