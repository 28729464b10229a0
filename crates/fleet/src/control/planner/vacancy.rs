//! Which endpoints are free, that is, may be ordered to join another group.
//!
//! The log says which group an endpoint was given, and the endpoint which group it is in. It is free
//! only if both agree that there is none. They differ where an order is carried out late
//! ([`super::stray`]). A member that is not the head names no more than whose member it is: whether
//! that group still serves, its head says.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::Service;
use crate::Name;

use super::super::endpoints::Endpoint;
use super::{Inputs, Planner};

/// Identities of the free endpoints of a service, by fabric domain.
pub(super) type FreeEndpoints = BTreeMap<Name, Vec<Name>>;

impl Planner {
    /// Usable endpoints of a service that belong to no group, not even a proposed one, by fabric
    /// domain.
    pub(super) fn free_endpoints(&self, inputs: &Inputs<'_>, service: &Service) -> FreeEndpoints {
        let now = inputs.now;
        let mut domains = FreeEndpoints::new();
        for (id, endpoint) in inputs.endpoints.iter() {
            let is_free = is_usable(endpoint, service, now, self.times.loss_timeout())
                && !self.proposed_members.contains_key(id)
                && inputs.state_machine.group_of(id).is_none()
                && !inputs.state_machine.held_heads.contains_key(&**id)
                && !self.strays.bind(id);
            if is_free {
                domains
                    .entry(endpoint.heartbeat.domain.as_str().into())
                    .or_default()
                    .push(id.clone());
            }
        }
        domains
    }
}

/// Whether an endpoint belongs to a service and accepts new work.
pub(super) fn is_usable(
    endpoint: &Endpoint,
    service: &Service,
    now: Instant,
    loss_timeout: Duration,
) -> bool {
    *endpoint.heartbeat.service == *service.name && endpoint.is_usable(now, loss_timeout)
}

/// Fabric domain of an endpoint, or none if the endpoint is unknown.
pub(super) fn domain_of(inputs: &Inputs<'_>, id: &str) -> Option<Name> {
    Some(inputs.endpoints.find(id)?.heartbeat.domain.as_str().into())
}

/// Number of endpoints in a list that are warm for a model.
pub(super) fn count_warm(inputs: &Inputs<'_>, ids: &[Name], model: &str) -> usize {
    ids.iter().filter(|id| is_warm(inputs, id, model)).count()
}

/// Whether an endpoint is warm for a model; false if the endpoint is unknown.
pub(super) fn is_warm(inputs: &Inputs<'_>, id: &str, model: &str) -> bool {
    inputs.endpoints.find(id).is_some_and(|endpoint| endpoint.is_warm(model))
}
