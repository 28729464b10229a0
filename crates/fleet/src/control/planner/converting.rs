//! Conversion of groups of one model to another.
//!
//! If a model is below its target and no domain has enough free endpoints, groups of a model with
//! less load are dissolved.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::document::Model;
use crate::journal;
use crate::Name;

use super::super::state_machine::{Change, Group, GroupDissolution};
use super::super::Effect;
use super::forming::releasing_domains;
use super::targets::{demand_weight, load_per_group, Allocation, Counts};
use super::vacancy::{count_warm, domain_of, is_warm, FreeEndpoints};
use super::{Inputs, Planner};

/// Minimum time between two conversions; a needed one waits until it has passed.
const CONVERSION_INTERVAL: Duration = Duration::from_millis(2500);
/// Maximum number of groups that are dissolved for one new group; a conversion that needs more is
/// not made.
const GROUPS_PER_CONVERSION_MAX: usize = 2;
/// Minimum ratio of the load of the gaining model before the conversion to that of the donor after
/// it; below it, no group is dissolved.
const CONVERSION_GAIN_MIN: f64 = 1.3;
/// Time for which the free endpoints of a domain are reserved for the model that groups were
/// dissolved for; after it, any model may use them.
const RESERVATION_TIME: Duration = Duration::from_secs(8);

/// Groups to dissolve so that another model can form a group from their members.
struct Conversion<'a, 'b> {
    /// Model that gains a group.
    model: &'a Model,
    /// Fabric domain of the groups.
    domain: Name,
    /// Groups to dissolve.
    groups: Vec<&'b Group>,
}

impl Planner {
    /// Proposes to dissolve groups for another model whose load is much higher, in a domain where
    /// their members and the free endpoints that are warm for that model suffice for a new group of
    /// it. Returns true if such a conversion is needed, even if it must wait for another one:
    /// models that have reached their target then get no further groups.
    pub(super) fn convert_groups(
        &mut self,
        inputs: &Inputs<'_>,
        allocation: &Allocation<'_>,
        domains: &FreeEndpoints,
        counts: &Counts,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let now = inputs.now;
        if !inputs.traffic {
            return false;
        }
        let Some(conversion) = find_conversion(inputs, allocation, domains, counts) else {
            return false;
        };
        let is_converting = |group: &Group| group.dissolving && group.graceful;
        let conversion_running = inputs.state_machine.groups.values().any(is_converting);
        let recent = self.last_conversion.is_some_and(|at| now.since(at) < CONVERSION_INTERVAL);
        if conversion_running || recent || !self.proposed_members.is_empty() {
            return true;
        }
        self.last_conversion = Some(now);
        self.reserved_domains
            .insert(conversion.domain, (conversion.model.name.clone(), now + RESERVATION_TIME));
        for group in conversion.groups {
            changes.push(Change::DissolveGroup(GroupDissolution {
                group: group.name.clone(),
                graceful: true,
            }));
            let gaining = &conversion.model.name;
            let detail = format!("model={} for={gaining} counts={counts:?}", group.model);
            let event =
                journal::Event::new(243, "group dissolved for another model", &*group.name, detail);
            effects.push(Effect::Log(event));
        }
        true
    }
}

/// Finds the most loaded of the models with fewer groups than their target, and the fewest groups
/// of another model in one domain to dissolve for it. The donor model keeps at least one group, and
/// its load afterwards must satisfy [`CONVERSION_GAIN_MIN`].
fn find_conversion<'a, 'b>(
    inputs: &'b Inputs<'_>,
    allocation: &Allocation<'a>,
    domains: &FreeEndpoints,
    counts: &Counts,
) -> Option<Conversion<'a, 'b>> {
    let Allocation { service, engine, target_counts } = allocation;
    let count = |model: &Model| counts.get(&model.name).copied().unwrap_or(0);
    let target = |model: &Model| target_counts.get(&model.name).copied().unwrap_or(0);
    let load = |model: &Model| load_per_group(inputs, service, engine, model, counts);
    let gaining = engine
        .models
        .iter()
        .filter(|model| count(model) < target(model))
        .max_by(|a, b| load(a).total_cmp(&load(b)))?;
    let releasing_domains = releasing_domains(inputs);
    let mut best: Option<(Name, Vec<&Group>)> = None;
    for donor in engine.models.iter().filter(|donor| donor.name != gaining.name) {
        for (domain, groups) in groups_by_domain(inputs, &donor.name) {
            let free = domains.get(&domain).map(Vec::as_slice).unwrap_or_default();
            let free = count_warm(inputs, free, &gaining.name);
            let Some(chosen) = choose_donors(inputs, free, groups, gaining) else { continue };
            if releasing_domains.contains(&domain) {
                continue;
            }
            let needed = chosen.len();
            if count(donor) <= needed {
                continue;
            }
            let donor_load =
                demand_weight(inputs, service, engine, donor) / (count(donor) - needed) as f64;
            if load(gaining) < donor_load * CONVERSION_GAIN_MIN {
                continue;
            }
            if best.as_ref().is_none_or(|(_, chosen)| needed < chosen.len()) {
                best = Some((domain, chosen));
            }
        }
    }
    best.map(|(domain, groups)| Conversion { model: gaining, domain, groups })
}

/// Groups of a model that are not being dissolved, by fabric domain.
fn groups_by_domain<'b>(inputs: &'b Inputs<'_>, model: &Name) -> BTreeMap<Name, Vec<&'b Group>> {
    let mut domains: BTreeMap<Name, Vec<&Group>> = BTreeMap::new();
    let groups = inputs.state_machine.groups.values();
    for group in groups.filter(|group| *group.model == **model && !group.dissolving) {
        let domain = group.head().and_then(|head| domain_of(inputs, &head.id));
        if let Some(domain) = domain {
            domains.entry(domain).or_default().push(group);
        }
    }
    domains
}

/// Chooses the fewest groups whose members that are warm for a model, together with `free` other
/// warm endpoints, suffice for a group of it; none if that takes more than
/// [`GROUPS_PER_CONVERSION_MAX`].
fn choose_donors<'b>(
    inputs: &Inputs<'_>,
    free: usize,
    groups: Vec<&'b Group>,
    model: &Model,
) -> Option<Vec<&'b Group>> {
    let warm_members = |group: &Group| {
        let members = group.members.iter();
        members.filter(|member| is_warm(inputs, &member.id, &model.name)).count()
    };
    let mut groups: Vec<(usize, &Group)> =
        groups.into_iter().map(|group| (warm_members(group), group)).collect();
    groups.sort_by_key(|(warm, _)| std::cmp::Reverse(*warm));
    let mut warm = free;
    let mut chosen = Vec::new();
    for (more, group) in groups.into_iter().take(GROUPS_PER_CONVERSION_MAX) {
        warm += more;
        chosen.push(group);
        if warm >= model.size {
            return Some(chosen);
        }
    }
    None
}
