//! Requests without a complete reply, and what each of them waits for.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt::{self, Display},
    rc::Rc,
};

use ragwortrill_core::{name, time::Instant};

/// What a request waits for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Stage {
    /// A target that has capacity.
    #[default]
    Queued,
    /// A connection to a target.
    Connecting(name::Target),
    /// The response of a target to which it was sent.
    Sent(name::Target),
    /// The response of another host to which it was forwarded.
    Forwarded,
    /// The replies to earlier requests of its connection; its own is ready.
    Held,
    /// The caller, which has not accepted the whole reply yet.
    Replying,
}

impl Stage {
    /// Returns the target that the request waits for; empty if it waits for none.
    pub(crate) fn target(&self) -> &str {
        match self {
            Self::Connecting(target) | Self::Sent(target) => target.as_str(),
            Self::Queued | Self::Forwarded | Self::Held | Self::Replying => "",
        }
    }
}

impl Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Connecting(_) => "connecting",
            Self::Sent(_) => "sent",
            Self::Forwarded => "forwarded",
            Self::Held => "held",
            Self::Replying => "replying",
        })
    }
}

/// A request without a complete reply.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    /// Id that the caller gave the request; empty if there is none.
    pub(crate) request: String,
    /// Number of the caller's connection.
    pub(crate) connection: u64,
    pub(crate) received: Instant,
    pub(crate) stage: Stage,
}

/// All requests without a complete reply, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct Register {
    next: Cell<u64>,
    activities: RefCell<BTreeMap<u64, Activity>>,
}

impl Register {
    /// Adds a request. Dropping the last guard removes it.
    pub(crate) fn add(
        self: &Rc<Self>,
        request: String,
        connection: u64,
        received: Instant,
    ) -> Rc<Guard> {
        let number = self.next.replace(self.next.get() + 1);
        let activity = Activity {
            request,
            connection,
            received,
            stage: Stage::default(),
        };
        self.activities.borrow_mut().insert(number, activity);
        Rc::new(Guard {
            register: self.clone(),
            number,
        })
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.activities.borrow().len()
    }

    /// Returns the number of requests whose replies are held.
    pub(crate) fn held(&self) -> usize {
        let activities = self.activities.borrow();
        let stages = activities.values().map(|activity| &activity.stage);
        stages.filter(|stage| **stage == Stage::Held).count()
    }

    /// Returns the requests.
    pub(crate) fn list(&self) -> Vec<Activity> {
        self.activities.borrow().values().cloned().collect()
    }
}

/// A request's entry in the register. Dropping it removes the request.
#[derive(Debug)]
pub(crate) struct Guard {
    register: Rc<Register>,
    number: u64,
}

impl Guard {
    /// Records what the request waits for from now on.
    pub(crate) fn set(&self, stage: Stage) {
        let mut activities = self.register.activities.borrow_mut();
        if let Some(activity) = activities.get_mut(&self.number) {
            activity.stage = stage;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut activities = self.register.activities.borrow_mut();
        activities.remove(&self.number);
    }
}
