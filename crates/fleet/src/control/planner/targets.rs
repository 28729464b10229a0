//! Target number of groups for each model.
//!
//! All endpoints of a service are divided among its models so that the groups of each model are
//! equally loaded. The load of a model is its demand per group.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::document::{Engine, Model, Service};
use crate::Name;

use super::vacancy::is_usable;
use super::Inputs;

/// Demand, in busy groups, that is added to the measured demand of each model, so that a model
/// without recent requests keeps some.
const BASE_DEMAND_GROUPS: f64 = 0.2;
/// Lower limit of the factor by which short requests reduce the demand of a model.
const LENGTH_WEIGHT_MIN: f64 = 0.7;
/// Upper limit of the factor by which long requests increase the demand of a model.
const LENGTH_WEIGHT_MAX: f64 = 1.5;

/// Number of groups by model.
pub(super) type Counts = BTreeMap<Name, usize>;

/// Target number of groups for each model of a service.
pub(super) struct Allocation<'a> {
    pub(super) service: &'a Service,
    pub(super) engine: &'a Engine,
    pub(super) target_counts: Counts,
}

impl<'a> Allocation<'a> {
    /// Divides the usable endpoints of a service among its models.
    pub(super) fn new(
        inputs: &Inputs<'_>,
        service: &'a Service,
        engine: &'a Engine,
        loss_timeout: Duration,
    ) -> Allocation<'a> {
        Allocation {
            service,
            engine,
            target_counts: target_counts(inputs, service, engine, loss_timeout),
        }
    }

    /// Models with fewer groups than their target, those with the highest load per group first.
    pub(super) fn models_below_target(&self, inputs: &Inputs<'_>) -> Vec<&'a Model> {
        let counts = group_counts(inputs, self.service);
        let count_of =
            |counts: &Counts, model: &Model| counts.get(&model.name).copied().unwrap_or(0);
        let below_target =
            |model: &&Model| count_of(&counts, model) < count_of(&self.target_counts, model);
        let mut models: Vec<&Model> = self.engine.models.iter().filter(below_target).collect();
        let load =
            |model: &Model| load_per_group(inputs, self.service, self.engine, model, &counts);
        models.sort_by(|a, b| load(b).total_cmp(&load(a)));
        models
    }
}

/// Number of groups of each model that are not being dissolved.
pub(super) fn group_counts(inputs: &Inputs<'_>, service: &Service) -> Counts {
    let mut counts = Counts::new();
    for group in inputs.state_machine.groups.values() {
        if !group.dissolving && *group.service == *service.name {
            *counts.entry(group.model.as_str().into()).or_default() += 1;
        }
    }
    counts
}

/// Demand of a model relative to the other models of the service: its average number of busy groups
/// or, while the measured demand is low, its expected share divided by the size of its groups. At
/// equal load, long requests queue for longer than short ones, so the measured demand is scaled by
/// the square root of the ratio of the model's mean work per request to that of all requests.
pub(super) fn demand_weight(
    inputs: &Inputs<'_>,
    service: &Service,
    engine: &Engine,
    model: &Model,
) -> f64 {
    let work = |model: &Model| {
        let key = (service.name.clone(), model.name.clone());
        inputs.demand.get(&key).copied().unwrap_or_default()
    };
    let groups: f64 = engine.models.iter().map(|model| work(model).busy_groups).sum();
    let requests: f64 = engine.models.iter().map(|model| work(model).requests_per_second).sum();
    if inputs.traffic && groups > 1.0 {
        let own = work(model);
        let mean = groups / requests.max(f64::MIN_POSITIVE);
        let length = if own.requests_per_second > 0.1 {
            (own.seconds_per_request() / mean).sqrt()
        } else {
            1.0
        };
        return own.busy_groups * length.clamp(LENGTH_WEIGHT_MIN, LENGTH_WEIGHT_MAX)
            + BASE_DEMAND_GROUPS;
    }
    let shares: f64 = engine.models.iter().map(|model| model.share).sum();
    model.share / shares.max(f64::MIN_POSITIVE) / model.size.max(1) as f64
}

/// Target number of groups for each model: usable endpoints are assigned one group at a time, each
/// to the model whose load per group is highest at that point, until no model's group fits any
/// more.
pub(super) fn target_counts(
    inputs: &Inputs<'_>,
    service: &Service,
    engine: &Engine,
    loss_timeout: Duration,
) -> Counts {
    let usable = inputs.endpoints.iter();
    let usable =
        usable.filter(|(_, endpoint)| is_usable(endpoint, service, inputs.now, loss_timeout));
    let mut left = usable.count();
    let mut targets = Counts::new();
    loop {
        let busiest = engine.models.iter().filter(|model| model.size <= left).max_by(|a, b| {
            let load = |model: &Model| load_per_group(inputs, service, engine, model, &targets);
            load(a).total_cmp(&load(b))
        });
        let Some(model) = busiest else { return targets };
        left -= model.size;
        *targets.entry(model.name.clone()).or_default() += 1;
    }
}

/// Demand of a model divided by its number of groups; a small constant keeps it finite without
/// groups.
pub(super) fn load_per_group(
    inputs: &Inputs<'_>,
    service: &Service,
    engine: &Engine,
    model: &Model,
    counts: &Counts,
) -> f64 {
    let groups = counts.get(&model.name).copied().unwrap_or(0) as f64;
    demand_weight(inputs, service, engine, model) / (groups + 0.01)
}
