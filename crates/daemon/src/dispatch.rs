//! Carries out the node's commands for one request until it has a response or is refused.

use ragwortrill_core::{
    event::{Arrival, Event, Finish, Ticket},
    number::Offset,
    request::Refusal,
    time::{Instant, Span},
};
use tokio::sync::{mpsc, watch};

use crate::{
    exchange::{Request, Response, Tracker, read_to_end},
    forward,
    registry::Command,
    response_cache::CachedResponse,
    shared::Shared,
    target,
};

/// Result of a request.
pub(crate) enum Outcome {
    /// The target responded. The body reports its own end to the node.
    Answered(Response),
    /// The request is refused and gets no response from its target.
    Refused {
        refusal: Refusal,
        retry_after: Option<Span>,
        offset: Offset,
    },
    /// The request repeats one that was answered with this status.
    Replayed {
        status: u16,
        cached: Option<CachedResponse>,
    },
}

/// Ticket and commands of a request. Dropped before it is closed, it reports to the node that the
/// caller has disconnected.
struct Guard<'a> {
    shared: &'a Shared,
    ticket: Ticket,
    commands: mpsc::Receiver<Command>,
    closed: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.closed {
            self.shared.registry.close(self.ticket);
            self.shared.send_event(Event::Disconnected(self.ticket));
        }
    }
}

/// Notice that the caller of a non-idempotent request has left, by the close of a channel. The request
/// is not sent to a target any more; one that runs is awaited.
pub(crate) struct Departure {
    channel: Option<watch::Receiver<()>>,
    has_come: bool,
}

impl Departure {
    /// Creates a notice of the close of a channel.
    pub(crate) fn of(channel: watch::Receiver<()>) -> Self {
        Self {
            channel: Some(channel),
            has_come: false,
        }
    }

    /// Creates a notice that never comes, for a request that is cancelled when its caller leaves.
    pub(crate) fn never() -> Self {
        Self {
            channel: None,
            has_come: false,
        }
    }

    fn has_come(&self) -> bool {
        self.has_come
    }

    /// Completes once, when the caller has left.
    async fn notice(&mut self) {
        match &mut self.channel {
            Some(channel) if !self.has_come => while channel.changed().await.is_ok() {},
            _ => std::future::pending().await,
        }
        self.has_come = true;
    }
}

/// Conditions under which a request is routed.
pub(crate) struct Context {
    pub(crate) deadline: Instant,
    pub(crate) forwarded: bool,
    pub(crate) min_offset: Offset,
}

/// Runs a request to its result. Calls `on_dispatch` before it sends the request to a target.
pub(crate) async fn run(
    shared: &Shared,
    request: &mut Request,
    context: Context,
    mut departure: Departure,
    mut on_dispatch: impl AsyncFnMut(),
) -> Outcome {
    let (ticket, commands) = shared.registry.open();
    let mut guard = Guard {
        shared,
        ticket,
        commands,
        closed: false,
    };
    let arrival = Arrival {
        ticket,
        head: request.head.clone(),
        deadline: context.deadline,
        forwarded: context.forwarded,
        min_offset: context.min_offset,
    };
    if !shared.try_send_event(Event::Arrive(arrival)) {
        guard.closed = true;
        shared.registry.close(ticket);
        return refused(Refusal::Full, Some(Span::from_secs(1)));
    }
    let mut offset = context.min_offset;
    let mut retry_after = None;
    loop {
        let command = tokio::select! {
            command = guard.commands.recv() => command,
            () = departure.notice() => {
                shared.send_event(Event::Disconnected(ticket));
                continue;
            }
        };
        let Some(command) = command else {
            return refused(Refusal::NoHolder, None);
        };
        let failure = match command {
            Command::Dispatch(_) if departure.has_come() => Finish::Unsent { lapsed: true },
            Command::Dispatch(dispatch) => {
                on_dispatch().await;
                match target::send(shared, &dispatch, request).await {
                    Ok(response) => return guard.respond(request, response, true),
                    Err(finish) => finish,
                }
            }
            Command::Forward { to, deadline } => match shared.link(&to.process) {
                None => Finish::LinkBroken,
                Some(link) => {
                    let now = shared.clock.now();
                    let left = departure.notice();
                    match forward::send(link, request, offset, now, deadline, left).await {
                        Ok(response) => return guard.respond(request, response, false),
                        Err(failure) => {
                            retry_after = failure.retry_after;
                            failure.finish
                        }
                    }
                }
            },
            Command::Refuse {
                refusal,
                retry_after: command_retry_after,
                offset,
            } => {
                guard.close();
                return Outcome::Refused {
                    refusal,
                    retry_after: command_retry_after.or(retry_after),
                    offset,
                };
            }
            Command::Replay {
                request: id,
                status,
            } => {
                guard.close();
                let cached = shared.response_cache.find(id, request.head.caller);
                return Outcome::Replayed { status, cached };
            }
            Command::Cancel => {
                guard.close();
                return refused(Refusal::Broken, None);
            }
        };
        if let Finish::Refused {
            offset: peer_offset,
            ..
        } = failure
        {
            offset = offset.max(peer_offset);
        }
        shared.send_event(Event::Finish {
            ticket,
            result: failure,
        });
        if departure.has_come() {
            shared.send_event(Event::Disconnected(ticket));
        }
        if !request.is_resendable() {
            return refused(Refusal::Broken, None);
        }
    }
}

fn refused(refusal: Refusal, retry_after: Option<Span>) -> Outcome {
    Outcome::Refused {
        refusal,
        retry_after,
        offset: Offset::default(),
    }
}

impl Guard<'_> {
    fn close(&mut self) {
        self.closed = true;
        self.shared.registry.close(self.ticket);
    }

    fn respond(&mut self, request: &Request, mut response: Response, local: bool) -> Outcome {
        self.closed = true;
        let cache = local && !request.head.idempotent;
        let tracker = Tracker::new(self.shared, self.ticket, request, &mut response, cache);
        let body = tracker.track(response.body);
        response.body = if cache { read_to_end(body) } else { body };
        Outcome::Answered(response)
    }
}
