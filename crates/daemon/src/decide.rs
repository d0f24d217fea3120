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
    registry::Order,
    shell::{Inbound, Shell},
    watch::Watch,
};

/// Interval between ticks of the node.
const TICK: Span = Span::from_millis(20);

/// Order to the thread that uses the control side of targets.
#[derive(Debug)]
pub(crate) struct Check {
    pub(crate) target: name::Target,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) task: Task,
}

/// What the control side of a target is used for.
#[derive(Debug)]
pub(crate) enum Task {
    Cancel(request::Id),
    Grant(Grant),
    Probe,
}

/// Rings from the deciding thread to the others.
pub(crate) struct Outlets {
    pub(crate) log: Outlet<Entry>,
    pub(crate) peers: Outlet<(Endpoint, Message)>,
    pub(crate) probes: Outlet<Check>,
    pub(crate) unready: Box<dyn Fn() + Send>,
    pub(crate) exit: Box<dyn Fn() + Send>,
}

/// A bounded ring and what did not fit into it yet.
pub(crate) struct Outlet<T> {
    sender: mpsc::Sender<T>,
    backlog: VecDeque<T>,
}

impl<T> Outlet<T> {
    pub(crate) fn new(sender: mpsc::Sender<T>) -> Self {
        Self {
            sender,
            backlog: VecDeque::new(),
        }
    }

    fn push(&mut self, item: T) {
        self.backlog.push_back(item);
        self.flush();
    }

    fn flush(&mut self) {
        while !self.backlog.is_empty() {
            let Ok(permit) = self.sender.try_reserve() else {
                return;
            };
            if let Some(item) = self.backlog.pop_front() {
                permit.send(item);
            }
        }
    }
}

/// Runs the node until its ring is closed.
pub(crate) fn run(mut node: Node, inbox: Receiver<Inbound>, mut outlets: Outlets, shell: &Shell) {
    let mut actions = Vec::new();
    let mut next = shell.clock.now();
    let mut version = node.ledger().version();
    let mut watch = Watch::default();
    loop {
        let now = shell.clock.now();
        if now >= next {
            next = now + TICK;
            node.handle(now, Event::Tick, &mut actions);
            watch.tick(now, &node, shell);
            outlets.flush();
        } else {
            match inbox.recv_timeout(next.since(now).as_duration()) {
                Ok(Inbound::Event(event)) => {
                    node.handle(shell.clock.now(), event, &mut actions);
                }
                Ok(Inbound::Inspect(look)) => look(&node),
                Ok(Inbound::Close) => return,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        shell.publish(&node, node.ledger().version() != version);
        version = node.ledger().version();
        for action in actions.drain(..) {
            outlets.perform(action, shell);
        }
    }
}

impl Outlets {
    fn flush(&mut self) {
        self.log.flush();
        self.peers.flush();
        self.probes.flush();
    }

    fn perform(&mut self, action: Action, shell: &Shell) {
        match action {
            Action::Append(entry) => self.log.push(entry),
            Action::Send { to, message } => self.peers.push((to, message)),
            Action::Probe { target, address } => self.probes.push(Check {
                target,
                address,
                task: Task::Probe,
            }),
            Action::Grant {
                target,
                address,
                grant,
            } => self.probes.push(Check {
                target,
                address,
                task: Task::Grant(grant),
            }),
            Action::Dispatch(start) => {
                shell.registry.order(start.ticket, Order::Start(start));
            }
            Action::Forward {
                ticket,
                to,
                deadline,
            } => shell
                .registry
                .order(ticket, Order::Forward { to, deadline }),
            Action::Refuse {
                ticket,
                refusal,
                retry_after,
                offset,
            } => {
                let order = Order::Refuse {
                    refusal,
                    retry_after,
                    offset,
                };
                shell.registry.order(ticket, order);
            }
            Action::Replay {
                ticket,
                request,
                status,
            } => shell
                .registry
                .order(ticket, Order::Recall { request, status }),
            Action::Cancel(ticket) => shell.registry.order(ticket, Order::Cancel),
            Action::Unready => (self.unready)(),
            Action::Exit => (self.exit)(),
        }
    }
}
