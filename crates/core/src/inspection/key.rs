//! Reports on the owners of keys and on requests.

use crate::{
    contract::{Contract, Wait},
    key::Digest,
    name,
    node::{Node, Pending, Phase},
    record::State,
    report::{Explanation, Owner, Progress, Request},
    request,
    time::Instant,
};

impl Node {
    /// Lists the owners of keys of one service, or of all services.
    pub fn owners(&self, service: Option<&name::Service>) -> Vec<Owner> {
        let services = self.ledger().table().services.iter();
        let services = services.filter(|(name, _)| service.is_none_or(|wanted| *name == wanted));
        let rows =
            services.flat_map(|(service, row)| row.targets.keys().map(move |t| (service, t)));
        rows.filter_map(|(service, target)| self.owner(service, target))
            .collect()
    }

    /// Returns the target that owns a key, with all that it owns.
    pub fn owner_of(&self, service: &name::Service, key: Digest) -> Option<Owner> {
        self.owner(service, self.ledger().owner(service, key)?)
    }

    fn owner(&self, service: &name::Service, target: &name::Target) -> Option<Owner> {
        let assignment = self.ledger().assignments().get(service)?;
        let (_, _, row) = self.ledger().table().target(target)?;
        let slices = assignment.slices.iter().filter(|owner| *owner == target);
        let keys = assignment.keys.values().filter(|owner| *owner == target);
        Some(Owner {
            service: service.clone(),
            target: target.clone(),
            data_centre: row.data_centre.clone(),
            slices: slices.count() as u32,
            keys: keys.count() as u32,
            contract: self.ledger().contracts().get(target).cloned(),
        })
    }

    /// Explains which target serves a key, and why.
    pub fn explain(
        &self,
        service: &name::Service,
        key: Digest,
        now: Instant,
    ) -> Option<Explanation> {
        let row = self.ledger().table().services.get(service)?;
        let assignment = self.ledger().assignments().get(service)?;
        let slices = assignment.slices.len() as u32;
        let target = assignment.owner(key)?.clone();
        let contract = self.ledger().contracts().get(&target);
        let current = contract.filter(|c| c.released.is_none());
        let slice = key.slice(slices);
        let mut why = vec![match assignment.keys.contains_key(&key) {
            true => format!("the key is hot and placed at {target} apart from slice {slice}"),
            false => {
                format!("the key's hash falls into slice {slice} of {slices}, owned by {target}")
            }
        }];
        if !row.divided_by_key {
            why.push(format!(
                "{service} is not divided by key, so any target in service may run the request"
            ));
        }
        why.extend(self.explain_state(&target));
        why.push(self.explain_holder(&target, contract, now));
        Some(Explanation {
            service: service.clone(),
            hash: key,
            slice,
            target: target.clone(),
            holder: current.map(|c| c.holder.clone()),
            epoch: current.map(|c| c.epoch),
            why,
        })
    }

    fn explain_state(&self, target: &name::Target) -> Option<String> {
        let (_, _, row) = self.ledger().table().target(target)?;
        let data_centre = &row.data_centre;
        if self.ledger().target(target) == State::Out {
            return Some(format!(
                "operators took target {target} out; its slices move away"
            ));
        }
        (self.ledger().data_centre(data_centre) == State::Out).then(|| {
            format!(
                "operators took data centre {data_centre} of {target} out; its slices move away"
            )
        })
    }

    fn explain_holder(
        &self,
        target: &name::Target,
        contract: Option<&Contract>,
        now: Instant,
    ) -> String {
        let Some(contract) = contract else {
            return format!("no process has claimed {target} yet");
        };
        let (holder, epoch) = (&contract.holder, contract.epoch);
        if contract.released.is_some() {
            return format!("{holder} gave {target} up; another process claims it next");
        }
        let responds = self.is_present(holder, now);
        let state = match (responds, contract.confirmed, contract.wait) {
            (false, _, _) => "is not heard; a standby takes over",
            (_, true, _) | (_, _, Wait::None) => "is heard",
            (_, false, Wait::Short) => "is heard and waits until the earlier holder's lease ends",
            (_, false, Wait::Long) => "is heard and waits as an outsider",
        };
        format!("{holder} holds {target} under epoch {epoch} and {state}")
    }

    /// Returns the progress of a request, if this node or the log knows it.
    pub fn progress(&self, id: request::Id) -> Option<Request> {
        let held = self.running.get(&id).and_then(|t| self.tickets.get(t));
        let intent = self.ledger().intent(&id);
        if held.is_none() && intent.is_none() {
            return None;
        }
        let target = held.and_then(|held| self.target_of(held));
        let status = self.answer_status(id);
        let progress = match (status, held.map(|held| &held.phase)) {
            (Some(_), _) => Progress::Answered,
            (None, Some(Phase::Running(_, _) | Phase::Suspended(_) | Phase::Forwarded(_))) => {
                Progress::Running
            }
            (None, Some(_)) => Progress::Queued,
            (None, None) => Progress::Unknown,
        };
        let state = target
            .as_ref()
            .and_then(|target| self.target_states.get(target));
        Some(Request {
            id,
            progress,
            status,
            epoch: intent.map(|i| i.epoch).or(state.map(|state| state.epoch)),
            target,
        })
    }

    fn target_of(&self, held: &Pending) -> Option<name::Target> {
        match &held.phase {
            Phase::Queued(target)
            | Phase::Registering(target, _)
            | Phase::Running(target, _)
            | Phase::Suspended(target) => Some(target.clone()),
            Phase::Forwarded(_) | Phase::Waiting => {
                let head = &held.arrival.head;
                self.ledger().owner(&head.service, head.key?).cloned()
            }
        }
    }
}
