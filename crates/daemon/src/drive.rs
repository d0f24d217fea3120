//! Carries out the orders for one request until it has an answer or a refusal.

use ragwortrill_core::{
    event::{Arrival, Event, Finish, Ticket},
    number::Offset,
    request::Refusal,
    time::{Instant, Span},
};
use tokio::sync::mpsc;

use crate::{
    answers::Kept,
    exchange::{Answer, Passage, Request, run_on},
    forward,
    registry::Order,
    shell::Shell,
    target,
};

/// How a request was decided.
pub(crate) enum Decision {
    /// The target answered. The body reports its own end.
    Answered(Answer),
    /// The request is not answered by its target.
    Refused {
        refusal: Refusal,
        retry_after: Option<Span>,
        offset: Offset,
    },
    /// The request is a repetition of one that was answered with this status.
    Recalled { status: u16, kept: Option<Kept> },
}

/// A request's number and orders. Dropped early, it tells the node that the caller has gone.
struct Claim<'a> {
    shell: &'a Shell,
    ticket: Ticket,
    orders: mpsc::Receiver<Order>,
    done: bool,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.shell.registry.close(self.ticket);
            self.shell.event(Event::Disconnected(self.ticket));
        }
    }
}

/// Where a request comes from.
pub(crate) struct Origin {
    pub(crate) deadline: Instant,
    pub(crate) forwarded: bool,
    pub(crate) known: Offset,
}

/// Decides a request. `started` is called once it is sent to a target.
pub(crate) async fn run(
    shell: &Shell,
    request: &mut Request,
    origin: Origin,
    mut started: impl AsyncFnMut(),
) -> Decision {
    let (ticket, orders) = shell.registry.open();
    let mut claim = Claim {
        shell,
        ticket,
        orders,
        done: false,
    };
    let arrival = Arrival {
        ticket,
        head: request.head.clone(),
        deadline: origin.deadline,
        forwarded: origin.forwarded,
        min_offset: origin.known,
    };
    if !shell.try_event(Event::Arrive(arrival)) {
        claim.done = true;
        shell.registry.close(ticket);
        return refused(Refusal::Full, Some(Span::from_secs(1)));
    }
    let mut offset = origin.known;
    let mut retry_after = None;
    loop {
        let Some(order) = claim.orders.recv().await else {
            return refused(Refusal::NoHolder, None);
        };
        let failure = match order {
            Order::Start(start) => {
                started().await;
                match target::send(shell, &start, request).await {
                    Ok(answer) => return claim.answered(request, answer, true),
                    Err(finish) => finish,
                }
            }
            Order::Forward { to, deadline } => match shell.link(&to.process) {
                None => Finish::LinkBroken,
                Some(link) => {
                    let now = shell.clock.now();
                    match forward::send(link, request, offset, now, deadline).await {
                        Ok(answer) => return claim.answered(request, answer, false),
                        Err(failure) => {
                            retry_after = failure.retry_after;
                            failure.finish
                        }
                    }
                }
            },
            Order::Refuse {
                refusal,
                retry_after: own,
                offset,
            } => {
                claim.end();
                return Decision::Refused {
                    refusal,
                    retry_after: own.or(retry_after),
                    offset,
                };
            }
            Order::Recall {
                request: id,
                status,
            } => {
                claim.end();
                let kept = shell.answers.find(id, request.head.caller);
                return Decision::Recalled { status, kept };
            }
            Order::Cancel => {
                claim.end();
                return refused(Refusal::Broken, None);
            }
        };
        if let Finish::Refused { offset: other, .. } = failure {
            offset = offset.max(other);
        }
        shell.event(Event::Finish {
            ticket,
            result: failure,
        });
        if !request.is_whole() {
            return refused(Refusal::Broken, None);
        }
    }
}

fn refused(refusal: Refusal, retry_after: Option<Span>) -> Decision {
    Decision::Refused {
        refusal,
        retry_after,
        offset: Offset::default(),
    }
}

impl Claim<'_> {
    fn end(&mut self) {
        self.done = true;
        self.shell.registry.close(self.ticket);
    }

    fn answered(&mut self, request: &Request, mut answer: Answer, local: bool) -> Decision {
        self.done = true;
        let keep = local && !request.head.idempotent;
        let passage = Passage::new(self.shell, self.ticket, request, &mut answer, keep);
        let body = passage.follow(answer.body);
        answer.body = if keep { run_on(body) } else { body };
        Decision::Answered(answer)
    }
}
