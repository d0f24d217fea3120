//! End of a graceful shutdown, before which every request gets a reply.

use ragwortrill_core::time::{Instant, Span};
use tokio::{sync::watch, time::sleep};

use crate::Clock;

/// Time before the limit of a graceful shutdown at which requests that still run get a reply, so
/// that it is written before the process ends.
const REPLY_TIME: Span = Span::from_millis(300);

/// Part of the limit, in percent, after which requests are refused that may not end before it.
const REFUSAL_PERCENT: u64 = 50;

/// Time limit of a graceful shutdown, and its course if it has started.
#[derive(Debug)]
pub(crate) struct Shutdown {
    clock: Clock,
    limit: Span,
    course: watch::Sender<Option<Course>>,
}

#[derive(Clone, Copy, Debug)]
struct Course {
    /// From when on requests are refused that may still run at the end.
    refuses_at: Instant,
    /// When requests that still run get a reply of the daemon.
    ends_at: Instant,
}

impl Shutdown {
    /// Creates a shutdown that has not started.
    pub(crate) fn new(clock: Clock, limit: Span) -> Self {
        Self {
            clock,
            limit,
            course: watch::Sender::new(None),
        }
    }

    /// Starts the shutdown.
    pub(crate) fn start(&self) {
        let now = self.clock.now();
        let course = Course {
            refuses_at: now + self.limit.scale(REFUSAL_PERCENT, 100),
            ends_at: now + (self.limit - REPLY_TIME),
        };
        self.course.send_if_modified(|current| {
            let is_new = current.is_none();
            current.get_or_insert(course);
            is_new
        });
    }

    /// Ends the shutdown, since no request is left.
    pub(crate) fn finish(&self) {
        let now = self.clock.now();
        self.course.send_replace(Some(Course {
            refuses_at: now,
            ends_at: now,
        }));
    }

    /// Returns whether a request with a deadline is refused, since the shutdown may end before it.
    pub(crate) fn refuses(&self, deadline: Instant) -> bool {
        let course = *self.course.borrow();
        course.is_some_and(|course| {
            course.refuses_at <= self.clock.now() && course.ends_at < deadline
        })
    }

    /// Waits until the shutdown has ended.
    pub(crate) async fn ended(&self) {
        let mut receiver = self.course.subscribe();
        // The sender outlives the wait, so the wait can't fail.
        let course = receiver.wait_for(Option::is_some).await.map(|known| *known);
        if let Ok(Some(course)) = course {
            let left = course.ends_at.since(self.clock.now());
            sleep(left.as_duration()).await;
        }
    }
}
