//! Summary of the placement for the log: the groups and the free endpoints of each fabric domain.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::Service;
use crate::journal;
use crate::Name;

use super::super::Effect;
use super::targets::target_counts;
use super::vacancy::{domain_of, is_usable};
use super::{Inputs, Planner};

/// Minimum time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

/// What was last logged, and when.
#[derive(Debug, Default)]
pub(super) struct LastSummary {
    text: String,
    at: Instant,
}

/// What a fabric domain holds.
#[derive(Debug, Default)]
struct Holding {
    /// Groups that are not being dissolved, by model.
    groups: BTreeMap<Name, usize>,
    /// Usable endpoints that belong to no group.
    free: usize,
    /// Members of groups that are being dissolved.
    releasing: usize,
}

impl Planner {
    /// Logs the placement of each service with model engines, if it has changed.
    pub(super) fn log_summary(&mut self, inputs: &Inputs<'_>, effects: &mut Vec<Effect>) {
        if inputs.now.since(self.last_summary.at) < SUMMARY_INTERVAL {
            return;
        }
        let document = inputs.document;
        let mut text = String::new();
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            let targets = target_counts(inputs, service, engine, self.times.loss_timeout());
            write!(text, "service={} targets={targets:?}", service.name).ok();
            for (domain, holding) in self.holdings(inputs, service) {
                let Holding { groups, free, releasing } = holding;
                write!(text, " {domain}={groups:?}+{free}").ok();
                if releasing > 0 {
                    write!(text, " releasing={releasing}").ok();
                }
            }
        }
        if text == self.last_summary.text {
            return;
        }
        self.last_summary = LastSummary { text: text.clone(), at: inputs.now };
        effects.push(Effect::Log(journal::Event::new(244, "placement", "groups", text)));
    }

    /// What each fabric domain holds.
    fn holdings(&self, inputs: &Inputs<'_>, service: &Service) -> BTreeMap<Name, Holding> {
        let mut holdings: BTreeMap<Name, Holding> = BTreeMap::new();
        for group in inputs.state_machine.groups.values() {
            let domain = group.members.iter().find_map(|member| domain_of(inputs, &member.id));
            let Some(domain) = domain.filter(|_| *group.service == *service.name) else { continue };
            let holding = holdings.entry(domain).or_default();
            if group.dissolving {
                holding.releasing += group.members.len();
            } else {
                *holding.groups.entry(group.model.as_str().into()).or_default() += 1;
            }
        }
        for (id, endpoint) in inputs.endpoints.iter() {
            let usable = is_usable(endpoint, service, inputs.now, self.times.loss_timeout());
            if usable && inputs.state_machine.group_of(id).is_none() {
                holdings.entry(endpoint.heartbeat.domain.as_str().into()).or_default().free += 1;
            }
        }
        holdings
    }
}
