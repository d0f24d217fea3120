//! Connections to targets within the host's share of their limits.

use std::{io, rc::Rc, time::Duration};

use ragwortrill_core::time::Span;
use ragwortrill_router::registration::Incarnation;

use crate::{connection::Connection, job::Job, shared::Shared};

/// Longest time to connect to a target.
const CONNECT: Duration = Duration::from_millis(400);

/// A connection that counts towards its target's limit until it ends or is given back.
pub(crate) struct Link {
    shared: Rc<Shared>,
    life: Incarnation,
    connection: Option<Connection>,
    is_counted: bool,
}

impl Link {
    /// Takes an idle connection or opens one. The error is the reason why there is none.
    pub(crate) async fn open(
        shared: &Rc<Shared>,
        job: &Job,
        life: &Incarnation,
    ) -> Result<Self, io::Error> {
        let now = shared.now();
        let idle = shared.with_peer(life, |peer| peer.pool.take(now));
        let is_idle = idle.is_some();
        let mut link = Self {
            shared: shared.clone(),
            life: life.clone(),
            connection: idle,
            is_counted: is_idle,
        };
        if !is_idle {
            link.connect(job).await?;
        }
        Ok(link)
    }

    /// Returns the connection.
    pub(crate) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Takes the connection out; it counts no longer.
    pub(crate) fn into_connection(mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Keeps the connection for the next request.
    pub(crate) fn give_back(mut self, idle_timeout: Option<Span>) {
        let now = self.shared.now();
        if let Some(connection) = self.connection.take() {
            self.is_counted = false;
            self.shared
                .with_peer(&self.life, |p| p.pool.give(now, connection, idle_timeout));
        }
    }

    async fn connect(&mut self, job: &Job) -> Result<(), io::Error> {
        let now = self.shared.now();
        let service = job.config.services.get(&job.service);
        let most = service.map_or(u32::MAX, |service| service.connections);
        let most = self.shared.share().count(most, 1);
        let is_full = self
            .shared
            .with_peer(&self.life, |peer| peer.pool.count() >= most);
        if is_full {
            return Err(io::Error::other("the limit of connections is reached"));
        }
        self.is_counted = true;
        self.shared.with_peer(&self.life, |peer| peer.pool.open());
        let left = job.deadline.since(now).as_duration();
        let opened = Connection::open(self.life.address, CONNECT.min(left)).await;
        if let Err(error) = &opened {
            self.shared
                .with_peer(&self.life, |peer| match error.kind() {
                    io::ErrorKind::ConnectionRefused => peer.breaker.record_refusal(now),
                    _ => peer.breaker.record_failure(now),
                });
        }
        self.connection = Some(opened?);
        Ok(())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if self.is_counted {
            self.shared.with_peer(&self.life, |peer| peer.pool.close());
        }
    }
}
