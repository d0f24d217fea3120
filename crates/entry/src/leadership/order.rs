//! Grants and releases of keys that the leader sends to targets, and their answers.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use ragwortrill_core::time::{Instant, Span};
use ragwortrill_router::leader::{MAX_GRANT_DELAY, Operation, Order, Response};
use rand::RngExt;

use super::Leadership;
use crate::{
    attempt::MISDIRECTED,
    call::{Client, Error, Reply, Subject},
    journal::AUDIT,
    leaving, reach,
};

/// Timeout of a grant request to a target.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a release request. The target answers only once its running work on the keys has
/// ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Age from which a planned grant is not sent any more. Its connection is reset `GRANT_TIMEOUT` later.
const MAX_GRANT_AGE: Span = Span::from_millis(400);
const _: () = assert!(
    MAX_GRANT_AGE.as_millis() + GRANT_TIMEOUT.as_millis() as u64 <= MAX_GRANT_DELAY.as_millis(),
    "a grant may arrive later than the plan counts on"
);
/// Age from which a planned release is not sent any more.
const MAX_RELEASE_AGE: Span = Span::from_millis(2_500);
/// Largest body of a target's answer to a grant or release.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Number of handover tokens that are remembered for a connection; it is not used any more then.
const MAX_TOKENS: usize = 64;

/// A client for orders to a target.
pub(super) struct OrderClient {
    client: Client,
    /// Handover tokens that came on the client's connection. A late copy of an answer to a release
    /// repeats one of them.
    tokens: BTreeSet<String>,
}

impl Leadership {
    /// Sends an order that was planned at a time, unless it must not leave any more, and records the
    /// answer.
    pub(super) async fn send(self: Rc<Self>, order: Order, planned_at: Instant) {
        let answer = match self.may_send(&order, planned_at) {
            true => self.call(&order, planned_at).await,
            false => Response::Unsent,
        };
        self.record_order(&order, &answer);
        let now = self.shared.now();
        let is_routine = order.is_renewal && matches!(answer, Response::Done(_));
        let level = if is_routine {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            target: AUDIT, level, service = order.service.as_str(),
            target = order.target.id.as_str(), first = order.first, last = order.last,
            epoch = order.fence, range_epoch = order.range_epoch,
            order = format!("{:?}", order.operation), answer = format!("{answer:?}"),
            planned_ms_ago = now.since(planned_at).as_millis();
            "grant or release ended"
        );
        let is_unanswered = matches!(
            answer,
            Response::Silent | Response::Unattributed | Response::Unreached | Response::Unsent
        );
        let has_follow_up = !is_unanswered && !order.is_renewal;
        self.leader
            .borrow_mut()
            .record_response(now, &order, answer);
        if has_follow_up {
            self.progress.notify_one();
        }
    }

    fn record_order(&self, order: &Order, answer: &Response) {
        let operation = match order.operation {
            Operation::Grant { .. } => "grant",
            Operation::Release => "release",
        };
        let answer = match answer {
            Response::Done(_) => "done",
            Response::Refused => "refused",
            Response::Misdirected => "misdirected",
            Response::Silent => "silent",
            Response::Unreached => "unreached",
            Response::Unattributed => "unattributed",
            Response::Unsent => "unsent",
        };
        self.shared.metrics.record_order(operation, answer);
    }

    /// Returns whether an order that was planned at a time may still leave.
    fn may_send(&self, order: &Order, planned_at: Instant) -> bool {
        let max_age = match order.operation {
            Operation::Grant { .. } => MAX_GRANT_AGE,
            Operation::Release => MAX_RELEASE_AGE,
        };
        let age = self.shared.now().since(planned_at);
        age <= max_age && self.lease.is_valid() && !self.is_replaced()
    }

    async fn call(&self, order: &Order, planned_at: Instant) -> Response {
        let (mut order_client, is_kept) = self.take_client(order);
        let limit = match order.operation {
            Operation::Grant { .. } => GRANT_TIMEOUT,
            Operation::Release => RELEASE_TIMEOUT,
        };
        let id = self.shared.random.borrow_mut().random();
        let call = (self.shared.protocol.encode_order)(order, id);
        let is_valid = || self.may_send(order, planned_at);
        let tokens = &order_client.tokens;
        let subject = |reply: &Reply| match (self.shared.protocol.order_subject)(reply, id) {
            Subject::Unnamed if !order.is_decisive => Subject::Own,
            Subject::Unnamed if self.has_new_token(order, reply, tokens) => Subject::Own,
            Subject::Own => {
                self.naming.borrow_mut().insert(order.target.clone());
                Subject::Own
            }
            subject => subject,
        };
        let client = &mut order_client.client;
        let outcome = client.call_named(&call, limit, is_valid, subject).await;
        if let Ok(reply) = &outcome {
            order_client
                .tokens
                .extend((self.shared.protocol.handover_token)(reply));
        }
        self.return_client(order, order_client, is_kept);
        match &outcome {
            Ok(_) | Err(Error::Expired | Error::Unattributed) => {}
            Err(error) => self.check_link(order, error).await,
        }
        self.interpret(order, outcome)
    }

    /// Tells whether an answer that names no order is that to a release: answers to grants bear no
    /// handover token, and late copies of answers to earlier releases repeat theirs.
    fn has_new_token(&self, order: &Order, reply: &Reply, tokens: &BTreeSet<String>) -> bool {
        let token = (self.shared.protocol.handover_token)(reply);
        let is_new = token.is_some_and(|token| !tokens.contains(&token));
        order.operation == Operation::Release && is_new
    }

    /// Returns a client for an order, and whether it has the connection of earlier orders.
    ///
    /// If the target does not name orders in its answers, a grant whose answer is decisive must not use
    /// a connection that another order has used: a late copy of an answer could not be told from its
    /// own. A release may, by its handover token, and has to if the link refuses new connections.
    fn take_client(&self, order: &Order) -> (OrderClient, bool) {
        let may_share = !order.is_decisive
            || order.operation == Operation::Release
            || self.naming.borrow().contains(&order.target);
        let mut clients = self.clients.borrow_mut();
        let idle = clients.entry(order.target.clone()).or_default();
        while let Some(mut client) = idle.pop_if(|_| may_share) {
            if client.client.keeps_connection() {
                return (client, true);
            }
        }
        let address = (self.shared.protocol.dial)(order.address());
        let client = OrderClient {
            client: Client::new(address, MAX_ANSWER_BYTES),
            tokens: BTreeSet::new(),
        };
        (client, false)
    }

    /// Keeps the client of an order that has ended for others. Orders that need connections of their own
    /// must not add up to more and more idle ones.
    fn return_client(&self, order: &Order, client: OrderClient, is_kept: bool) {
        let is_shared =
            is_kept || !order.is_decisive || self.naming.borrow().contains(&order.target);
        let is_usable = client.client.has_connection() && client.tokens.len() < MAX_TOKENS;
        let mut clients = self.clients.borrow_mut();
        let idle = clients.entry(order.target.clone()).or_default();
        if is_usable && (is_shared || idle.is_empty()) {
            idle.push(client);
        }
    }

    /// Finds out whether the target of an unanswered order or this host's link to it is lost.
    async fn check_link(&self, order: &Order, error: &Error) {
        let cause = match error {
            Error::Connect(error) => reach::Cause::from(error),
            Error::Broken(_) => reach::Cause::Break,
            _ => reach::Cause::Silence,
        };
        let (shared, order) = (self.shared.clone(), order.clone());
        let checking = async move {
            reach::check(&shared, &order.service, &order.target, cause).await;
        };
        match error {
            Error::Connect(_) | Error::Broken(_) => checking.await,
            // The order has used up its time already.
            _ => _ = tokio::task::spawn_local(checking),
        }
    }

    fn interpret(&self, order: &Order, outcome: Result<Reply, Error>) -> Response {
        if let Ok(reply) = outcome.as_ref()
            && reply.status != MISDIRECTED
        {
            leaving::record(&self.shared, &order.target, &reply.headers);
        }
        match outcome {
            Ok(reply) => match reply.status {
                200 => Response::Done((self.shared.protocol.handover_token)(&reply)),
                409 => Response::Refused,
                MISDIRECTED => Response::Misdirected,
                status => {
                    log::warn!(target = order.target.id.as_str(), status = status; "target answered a grant or release with an unexpected status");
                    Response::Silent
                }
            },
            Err(Error::Expired) => Response::Unsent,
            Err(Error::Unattributed) => Response::Unattributed,
            Err(error) => {
                log::info!(target = order.target.id.as_str(), error = error.to_string(); "target did not answer a grant or release");
                match reach::may_be_lost(&self.shared, &order.service, &order.target) {
                    true => Response::Unreached,
                    false => Response::Silent,
                }
            }
        }
    }
}
