//! The thread that owns the node and carries out its actions.

use std::collections::VecDeque;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use ragwortrill_core::{
    action::Action,
    event::{Endpoint, Event, Grant, Message},
    name,
    node::Node,
    record::Entry,
    request,
    time::Span,
};
use tokio::sync::mpsc;

use crate::{
    monitor::Monitor,
    registry::Command,
    shared::{Inbound, Shared},
};

/// Interval between ticks of the node.
const TICK_INTERVAL: Span = Span::from_millis(20);

/// Call to the control side of a target, made by the control thread.
#[derive(Debug)]
pub(crate) struct ControlCall {
    pub(crate) target: name::Target,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) operation: Operation,
}

/// Operation on the control side of a target.
#[derive(Debug)]
pub(crate) enum Operation {
    Cancel(request::Id),
    Grant(Grant),
    Probe,
}

/// Channels from the node thread to the other threads.
pub(crate) struct Outputs {
    pub(crate) log: BufferedSender<Entry>,
    pub(crate) peers: BufferedSender<(Endpoint, Message)>,
    pub(crate) control: BufferedSender<ControlCall>,
    pub(crate) unready: Box<dyn Fn() + Send>,
    pub(crate) exit: Box<dyn Fn() + Send>,
}

/// A bounded channel, and a backlog of the messages that did not fit into it yet. Sending never
/// blocks the node thread.
pub(crate) struct BufferedSender<T> {
    sender: mpsc::Sender<T>,
    backlog: VecDeque<T>,
}

impl<T> BufferedSender<T> {
    pub(crate) fn new(sender: mpsc::Sender<T>) -> Self {
        Self {
            sender,
            backlog: VecDeque::new(),
        }
    }

    fn push(&mut self, message: T) {
        self.backlog.push_back(message);
        self.flush();
    }

    fn flush(&mut self) {
        while !self.backlog.is_empty() {
            let Ok(permit) = self.sender.try_reserve() else {
                return;
            };
            if let Some(message) = self.backlog.pop_front() {
                permit.send(message);
            }
        }
    }
}

/// Runs the node until its inbox is closed.
pub(crate) fn run(mut node: Node, inbox: Receiver<Inbound>, mut outputs: Outputs, shared: &Shared) {
    let mut actions = Vec::new();
    let mut next_tick = shared.clock.now();
    let mut version = node.ledger().version();
    let mut monitor = Monitor::default();
    loop {
        let now = shared.clock.now();
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            node.handle(now, Event::Tick, &mut actions);
            monitor.report(now, &node, shared);
            outputs.flush();
        } else {
            match inbox.recv_timeout(next_tick.since(now).as_duration()) {
                Ok(Inbound::Event(event)) => {
                    node.handle(shared.clock.now(), event, &mut actions);
                }
                Ok(Inbound::Inspect(read)) => read(&node),
                Ok(Inbound::Close) => return,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        shared.publish(&node, node.ledger().version() != version);
        version = node.ledger().version();
        for action in actions.drain(..) {
            outputs.perform(action, shared);
        }
    }
}

impl Outputs {
    fn flush(&mut self) {
        self.log.flush();
        self.peers.flush();
        self.control.flush();
    }

    fn perform(&mut self, action: Action, shared: &Shared) {
        match action {
            Action::Append(entry) => self.log.push(entry),
            Action::Send { to, message } => self.peers.push((to, message)),
            Action::Probe { target, address } => self.control.push(ControlCall {
                target,
                address,
                operation: Operation::Probe,
            }),
            Action::Grant {
                target,
                address,
                grant,
            } => self.control.push(ControlCall {
                target,
                address,
                operation: Operation::Grant(grant),
            }),
            Action::Dispatch(dispatch) => {
                shared
                    .registry
                    .send(dispatch.ticket, Command::Dispatch(dispatch));
            }
            Action::Forward {
                ticket,
                to,
                deadline,
            } => shared
                .registry
                .send(ticket, Command::Forward { to, deadline }),
            Action::Refuse {
                ticket,
                refusal,
                retry_after,
                offset,
            } => {
                let command = Command::Refuse {
                    refusal,
                    retry_after,
                    offset,
                };
                shared.registry.send(ticket, command);
            }
            Action::Replay {
                ticket,
                request,
                status,
            } => shared
                .registry
                .send(ticket, Command::Replay { request, status }),
            Action::Cancel(ticket) => shared.registry.send(ticket, Command::Cancel),
            Action::Unready => (self.unready)(),
            Action::Exit => (self.exit)(),
        }
    }
}
