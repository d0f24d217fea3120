//! Look-up of a request by its id.

use crate::{
    contract::Contract,
    event::Endpoint,
    name,
    node::{Node, Phase},
    report::{Progress, Request},
    request,
};

/// What a node knows about a request, and the daemon that knows more.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// Progress of the request, if this node or the log knows it.
    pub request: Option<Request>,
    /// Daemon that holds the request's target, if it is another one.
    pub holder: Option<Endpoint>,
}

impl Node {
    /// Looks up a request of a service.
    pub fn look_up(&self, service: &name::Service, id: request::Id) -> Lookup {
        let contract = self.contract_of(service, id);
        let holder = contract.map(|(_, contract)| &contract.holder);
        let other = holder.filter(|holder| **holder != self.config.process);
        Lookup {
            request: self.describe_request(id, contract),
            holder: other.and_then(|holder| self.peer(holder)),
        }
    }

    /// Finds the target and contract under which a request runs or would run.
    fn contract_of(
        &self,
        service: &name::Service,
        id: request::Id,
    ) -> Option<(&name::Target, &Contract)> {
        let epoch = self.ledger.intent(&id).map(|intent| intent.epoch);
        let mut contracts = self.ledger.contracts().iter();
        let current = contracts.find(|(_, contract)| Some(contract.epoch) == epoch);
        current.or_else(|| {
            let owner = self.ledger.owner(service, id.key)?;
            self.ledger.contracts().get_key_value(owner)
        })
    }

    /// Returns the HTTP status of a request's answer, from the log or, until the log has it, from
    /// this node.
    pub(crate) fn answer_status(&self, id: request::Id) -> Option<u16> {
        let intent = self.ledger.intent(&id);
        let status = intent.and_then(|intent| intent.status);
        status.or_else(|| self.pending_outcomes.get(&id).copied())
    }

    fn describe_request(
        &self,
        id: request::Id,
        contract: Option<(&name::Target, &Contract)>,
    ) -> Option<Request> {
        let intent = self.ledger.intent(&id);
        let status = self.answer_status(id);
        let ticket = self.running.get(&id);
        let phase = ticket.and_then(|ticket| self.tickets.get(ticket));
        let progress = match (status, phase.map(|held| &held.phase)) {
            (Some(_), _) => Progress::Answered,
            (None, Some(Phase::Running(_, _) | Phase::Suspended(_))) => Progress::Running,
            (None, Some(_)) => Progress::Queued,
            (None, None) if intent.is_some() => Progress::Unknown,
            (None, None) => return None,
        };
        Some(Request {
            id,
            progress,
            status,
            target: contract.map(|(target, _)| target.clone()),
            epoch: intent.map(|intent| intent.epoch),
        })
    }
}
