use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use ntex::http::{Request, Response, StatusCode};
use ragwortrill_core::name;
use ragwortrill_platform::{
    headers::RETRY_AFTER,
    target::{CANCEL_PATH, IS_LEAVING, LEAVING_HEADER, RATE_LIMIT_HEADER, REQUEST_HEADER},
};

use super::{
    call::{self, Call},
    control,
    state::State,
    stream, work,
};
use crate::{reply, server, watched::Watched};

/// Function of a test that returns the recorded owner of a key.
pub(crate) type Owner = Arc<dyn Fn(&str) -> Option<name::Target> + Send + Sync>;

/// Handles the requests to a target.
pub(crate) struct Handler {
    pub(crate) name: name::Target,
    pub(crate) state: Watched<State>,
    pub(crate) owner: Mutex<Option<Owner>>,
}

/// Counts an open connection until it is dropped.
pub(crate) struct Connection(Arc<Handler>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.state.change(|state| state.counts.connections -= 1);
    }
}

impl Handler {
    pub(crate) async fn until_resumed(&self) {
        let until_resumed = |state: &mut State| (!state.frozen).then_some(());
        self.state.until(until_resumed).await;
    }

    /// Returns the deadline of a call, if the target enforces deadlines.
    pub(crate) fn deadline(&self, call: &Call) -> Option<Instant> {
        let keeps = self.state.read(|state| state.settings.enforces_deadlines);
        call.deadline.filter(|_| keeps)
    }

    /// Adds what the target states about itself to an answer.
    fn add_statements(&self, response: &mut Response) {
        let settings = self.state.read(|state| state.settings.clone());
        let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        if is_unavailable {
            let time = call::value(settings.retry_after);
            headers.insert(call::name(RETRY_AFTER), time);
        }
        if let Some(rate) = settings.rate_limit {
            headers.insert(call::name(RATE_LIMIT_HEADER), call::value(rate));
        }
        if settings.is_leaving {
            headers.insert(call::name(LEAVING_HEADER), call::value(IS_LEAVING));
        }
    }

    /// Returns whether a key's recorded owner is another target.
    pub(crate) fn is_wrong_owner(&self, key: Option<&str>) -> bool {
        let owner = self.owner.lock();
        let owner = owner.unwrap_or_else(PoisonError::into_inner).clone();
        let recorded = owner.zip(key).and_then(|(owner, key)| owner(key));
        recorded.is_some_and(|recorded| recorded != self.name)
    }
}

impl server::Handler for Handler {
    type Connection = Connection;

    async fn ready(&self) {
        self.until_resumed().await;
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
        self.until_resumed().await;
        let path = request.path();
        if path.starts_with("/control/") {
            return control::answer(&self, request).await;
        }
        let id = reply::header(&request, REQUEST_HEADER);
        let mut response = match path.starts_with(stream::PATH) {
            true => stream::answer(&self, request).await,
            false => work::answer(&self, request).await,
        };
        if let Some(id) = id {
            let headers = response.headers_mut();
            headers.insert(call::name(REQUEST_HEADER), call::value(id));
        }
        self.add_statements(&mut response);
        response
    }

    async fn ended(&self) {
        let crashed = |state: &mut State| state.crashed.then_some(());
        self.state.until(crashed).await;
    }
}

/// Returns the request identifier in the path of a cancellation.
pub(crate) fn cancelled(path: &str) -> Option<&str> {
    path.strip_prefix(CANCEL_PATH)
}
