//! Connections to targets, taken from the pool or opened within the host's share of the target's
//! connection limit.

use std::{io, rc::Rc, time::Duration};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::registration::Incarnation;

use crate::{
    connection::Connection,
    job::Job,
    pool::{Kept, Pool},
    reach,
    shared::Shared,
};

/// Timeout for opening a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection in use by one request. It counts towards its target's limit until it is dropped;
/// one that is returned to the pool keeps counting there.
pub(crate) struct Checkout {
    shared: Rc<Shared>,
    incarnation: Incarnation,
    connection: Option<Connection>,
    number: u64,
    opened_at: Instant,
    is_counted: bool,
}

impl Checkout {
    /// Takes an idle connection from the pool, or opens a new one.
    ///
    /// A request never gets a connection that carried it before: a target may write its earlier
    /// refusal once more, and the id could not tell that from the response.
    pub(crate) async fn open(
        shared: &Rc<Shared>,
        job: &Job,
        incarnation: &Incarnation,
    ) -> Result<Self, io::Error> {
        let now = shared.now();
        let take = |pool: &mut Pool| pool.take(now, &job.carried_by);
        let kept = shared.with_endpoint(incarnation, |endpoint| take(&mut endpoint.pool));
        let checkout = |connection, number, opened_at, is_counted| Self {
            shared: shared.clone(),
            incarnation: incarnation.clone(),
            connection,
            number,
            opened_at,
            is_counted,
        };
        if let Some(kept) = kept {
            let Kept {
                connection,
                number,
                opened_at,
            } = kept;
            return Ok(checkout(Some(connection), number, opened_at, true));
        }
        let number = shared.opened_connections.get() + 1;
        shared.opened_connections.set(number);
        let mut checkout = checkout(None, number, now, false);
        checkout.connect(job).await?;
        Ok(checkout)
    }

    /// Returns the number of the connection, which no other one of this host has.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the connection; none only if opening it failed.
    pub(crate) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Returns the time at which the connection was established.
    pub(crate) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns the connection, which no longer counts towards the limit.
    pub(crate) fn into_connection(mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Returns the connection to the pool for another request.
    pub(crate) fn give_back(mut self, idle_timeout: Option<Span>) {
        let now = self.shared.now();
        if let Some(connection) = self.connection.take() {
            self.is_counted = false;
            let kept = Kept {
                connection,
                number: self.number,
                opened_at: self.opened_at,
            };
            self.shared
                .with_endpoint(&self.incarnation, |p| p.pool.put(now, kept, idle_timeout));
        }
    }

    async fn connect(&mut self, job: &Job) -> Result<(), io::Error> {
        let now = self.shared.now();
        let service = job.config.services.get(&job.service);
        let max_connections = service.map_or(u32::MAX, |service| service.connections);
        let max_connections = self.shared.share().count(max_connections, 1);
        let is_full = self.shared.with_endpoint(&self.incarnation, |endpoint| {
            if endpoint.pool.open_count() >= max_connections {
                // The idle ones have carried the request before.
                endpoint.pool.close_oldest();
            }
            endpoint.pool.open_count() >= max_connections
        });
        if is_full {
            return Err(io::Error::other(
                "the limit of connections to the target is reached",
            ));
        }
        self.is_counted = true;
        self.shared
            .with_endpoint(&self.incarnation, |endpoint| endpoint.pool.record_open());
        let left = job.deadline.since(now).as_duration();
        let address = (self.shared.protocol.dial)(self.incarnation.address);
        let opened = Connection::open(address, CONNECT_TIMEOUT.min(left)).await;
        self.opened_at = self.shared.now();
        if let Err(error) = &opened {
            self.shared
                .with_endpoint(&self.incarnation, |endpoint| match error.kind() {
                    io::ErrorKind::ConnectionRefused => {
                        endpoint.breaker.record_refusal(now);
                        endpoint.restart_detector.record_refusal(self.opened_at);
                    }
                    io::ErrorKind::ConnectionReset => {
                        endpoint.breaker.record_failure(now);
                        endpoint.restart_detector.record_break(self.opened_at);
                    }
                    _ => endpoint.breaker.record_failure(now),
                });
        }
        if let Err(error) = &opened {
            let cause = reach::Cause::from(error);
            reach::check(&self.shared, &job.service, &self.incarnation, cause).await;
        }
        self.connection = Some(opened?);
        Ok(())
    }
}

impl Drop for Checkout {
    /// A connection that is neither idle nor needed for a reply is reset. Closing it would leave
    /// the request in its send buffer to the kernel, which may deliver it seconds later.
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.reset();
        }
        if self.is_counted {
            self.shared
                .with_endpoint(&self.incarnation, |endpoint| endpoint.pool.record_close());
        }
    }
}
