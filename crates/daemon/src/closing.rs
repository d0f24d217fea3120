//! Closes callers' connections during a graceful shutdown.

use std::{cell::RefCell, collections::BTreeSet, sync::atomic::Ordering};

use ntex::{
    http::ConnectionType,
    service::{Middleware, Service, ServiceCtx, cfg::SharedCfg},
    web::{WebRequest, WebResponse},
};

use crate::{operators::Ready, problem::Problem, shared::Shared};

/// Makes every reply close its connection once a graceful shutdown has started. A caller that kept
/// its connection would send requests until the process ends.
pub(crate) struct Closing {
    pub(crate) shared: Shared,
    pub(crate) ready: Ready,
}

impl<S> Middleware<S, SharedCfg> for Closing {
    type Service = Closer<S>;

    fn create(&self, service: S, _: SharedCfg) -> Closer<S> {
        Closer {
            service,
            shared: self.shared.clone(),
            ready: self.ready.clone(),
            closed: RefCell::default(),
        }
    }
}

/// Serves the connections of one worker.
pub(crate) struct Closer<S> {
    service: S,
    shared: Shared,
    ready: Ready,
    /// Numbers of the connections that a reply has closed. It grows only during a shutdown.
    closed: RefCell<BTreeSet<usize>>,
}

impl<S, E> Service<WebRequest<E>> for Closer<S>
where
    S: Service<WebRequest<E>, Response = WebResponse>,
{
    type Response = WebResponse;
    type Error = S::Error;

    ntex::forward_poll!(service);
    ntex::forward_ready!(service);
    ntex::forward_shutdown!(service);

    async fn call(
        &self,
        request: WebRequest<E>,
        context: ServiceCtx<'_, Self>,
    ) -> Result<WebResponse, S::Error> {
        let connection = request.head().id;
        let is_closed = self.closed.borrow().contains(&connection);
        let mut response = match is_closed {
            // ntex serves a pipelined request that arrived before the connection ends. The caller
            // may send it again elsewhere, so it must not run here.
            true => {
                let problem = Problem::connection_closed();
                self.shared.metrics.request_refused(problem.reason());
                request.into_response(problem.response())
            }
            false => context.call(&self.service, request).await?,
        };
        if !self.ready.load(Ordering::Relaxed) {
            self.closed.borrow_mut().insert(connection);
            let head = response.response_mut().head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        Ok(response)
    }
}
