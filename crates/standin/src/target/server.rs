use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use ragwortrill_core::name;

use super::{Counts, Settings, site::Site, state::State};
use crate::{server, watched::Watched};

/// A target on a free port of the loopback interface. It ends when it is dropped.
pub struct Server {
    address: SocketAddr,
    server: Option<server::Server>,
    site: Arc<Site>,
}

impl Server {
    /// Starts a cold target.
    pub fn start(name: name::Target, settings: Settings) -> io::Result<Self> {
        Self::serve(server::listen()?, name, settings)
    }

    /// Starts a cold target on an address of the loopback interface.
    pub fn start_at(
        address: SocketAddr,
        name: name::Target,
        settings: Settings,
    ) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, name, settings)
    }

    fn serve(listener: TcpListener, name: name::Target, settings: Settings) -> io::Result<Self> {
        let site = Arc::new(Site {
            name,
            state: Watched::new(State::new(settings)),
            owner: Mutex::new(None),
        });
        let server = server::Server::start(listener, site.clone())?;
        Ok(Self {
            address: server.address(),
            server: Some(server),
            site,
        })
    }

    /// Returns the address of the target. It stays the same across restarts.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &name::Target {
        &self.site.name
    }

    /// Returns the settings.
    pub fn settings(&self) -> Settings {
        self.site.state.read(|state| state.settings.clone())
    }

    /// Changes the settings. They hold from the next step of each request on.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        self.site.state.change(|state| change(&mut state.settings));
    }

    /// Sets how the recorded owner of a key is found, for the counters of foreign requests.
    pub fn set_owner(&self, owner: impl Fn(&str) -> Option<name::Target> + Send + Sync + 'static) {
        let current = self.site.owner.lock();
        *current.unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(owner));
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.site.state.read(|state| state.counts.clone())
    }

    /// Returns the number drawn at the last cold start.
    pub fn start_id(&self) -> u64 {
        self.site.state.read(|state| state.start_id)
    }

    /// Stops all activity. Connections stay open, and what arrives waits.
    pub fn freeze(&self) {
        self.site.state.change(|state| state.frozen = true);
    }

    /// Ends a freeze. What has arrived is handled as if it had arrived now.
    pub fn resume(&self) {
        self.site.state.change(|state| state.frozen = false);
    }

    /// Makes the target cold without a restart.
    pub fn chill(&self) {
        self.site.state.change(State::become_cold);
    }

    /// Closes the listener and all connections, and ends all work.
    pub fn crash(&mut self) {
        self.site.state.change(State::crash);
        self.server.take();
    }

    /// Tells whether the target has crashed and was not restarted.
    pub fn is_crashed(&self) -> bool {
        self.site.state.read(|state| state.crashed)
    }

    /// Starts a crashed target again, cold and on the same address.
    pub fn restart(&mut self) -> io::Result<()> {
        self.crash();
        let listener = TcpListener::bind(self.address)?;
        self.site.state.change(|state| {
            state.frozen = false;
            state.start_cold();
        });
        self.server = Some(server::Server::start(listener, self.site.clone())?);
        Ok(())
    }

    /// Waits until the counters meet a condition.
    pub async fn until(&self, mut holds: impl FnMut(&Counts) -> bool) {
        let held = |state: &mut State| holds(&state.counts).then_some(());
        self.site.state.until(held).await;
    }

    /// Waits until the target has crashed.
    pub async fn until_crashed(&self) {
        server::Site::ended(&*self.site).await;
    }

    /// Blocks until the counters meet a condition. Returns false when `limit` has passed.
    pub fn wait(&self, limit: Duration, mut holds: impl FnMut(&Counts) -> bool) -> bool {
        self.site.state.wait(limit, |state| holds(&state.counts))
    }

    /// Ends the target. All connections break.
    pub fn stop(mut self) {
        self.server.take();
    }
}
