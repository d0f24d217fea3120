use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use ntex::http::{Request, Response};
use ragwortrill_core::name;
use ragwortrill_platform::target::CANCEL_PATH;

use super::{call::Call, control, state::State, stream, work};
use crate::{server, watched::Watched};

/// Recorded owner of a key, as a test sees it.
pub(crate) type Owner = Arc<dyn Fn(&str) -> Option<name::Target> + Send + Sync>;

/// What a target serves.
pub(crate) struct Site {
    pub(crate) name: name::Target,
    pub(crate) state: Watched<State>,
    pub(crate) owner: Mutex<Option<Owner>>,
}

/// An open connection.
pub(crate) struct Connection(Arc<Site>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.state.change(|state| state.counts.connections -= 1);
    }
}

impl Site {
    pub(crate) async fn thawed(&self) {
        let thawed = |state: &mut State| (!state.frozen).then_some(());
        self.state.until(thawed).await;
    }

    /// Returns the deadline of a call, if the target keeps deadlines.
    pub(crate) fn deadline(&self, call: &Call) -> Option<Instant> {
        let keeps = self.state.read(|state| state.settings.enforces_deadlines);
        call.deadline.filter(|_| keeps)
    }

    /// Tells whether a key's recorded owner is another target.
    pub(crate) fn is_foreign(&self, key: Option<&str>) -> bool {
        let owner = self.owner.lock();
        let owner = owner.unwrap_or_else(PoisonError::into_inner).clone();
        let recorded = owner.zip(key).and_then(|(owner, key)| owner(key));
        recorded.is_some_and(|recorded| recorded != self.name)
    }
}

impl server::Site for Site {
    type Connection = Connection;

    async fn ready(&self) {
        self.thawed().await;
    }

    fn admit(self: &Arc<Self>) -> Option<Connection> {
        self.state.change(|state| {
            let counts = &mut state.counts;
            if counts.connections >= state.settings.connections {
                counts.connections_refused += 1;
                return None;
            }
            counts.connections += 1;
            counts.connections_peak = counts.connections_peak.max(counts.connections);
            Some(Connection(self.clone()))
        })
    }

    async fn answer(self: Arc<Self>, request: Request) -> Response {
        self.thawed().await;
        let path = request.path();
        if path.starts_with("/control/") {
            control::answer(&self, request).await
        } else if path.starts_with(stream::PATH) {
            stream::answer(&self, request).await
        } else {
            work::answer(&self, request).await
        }
    }

    async fn ended(&self) {
        let crashed = |state: &mut State| state.crashed.then_some(());
        self.state.until(crashed).await;
    }
}

/// Returns the request identifier of a cancellation's path.
pub(crate) fn cancelled(path: &str) -> Option<&str> {
    path.strip_prefix(CANCEL_PATH)
}
