//! Validation of a document's draft.

use std::collections::HashSet;

use displaydoc::Display;

use crate::Name;

use super::{Draft, Route};

/// A fault of a draft and its place in the document, as text for operators.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Finding {
    /// {place}: {detail}
    Malformed {
        /// Path of the field in the document.
        place: String,
        /// What is wrong with it.
        detail: String,
    },
    /// routes.{route}: refers to service {service}, which the document does not define
    UnknownService {
        /// Name of the route.
        route: Name,
        /// Name of the service.
        service: Name,
    },
    /// routes.{route}: another route has the same host and prefix
    DuplicateRoute {
        /// Name of the route.
        route: Name,
    },
    /// routes.{route}: the weights of its services add up to 0, so that it can serve no request
    ZeroWeight {
        /// Name of the route.
        route: Name,
    },
    /// routes.{route}: the timeout must be greater than 0
    ZeroTimeout {
        /// Name of the route.
        route: Name,
    },
    /// routes.{route}: the prefix must begin and end with a slash
    InvalidPrefix {
        /// Name of the route.
        route: Name,
    },
    /// services.{service}: another service has the same name
    DuplicateService {
        /// Name of the service.
        service: Name,
    },
    /// workspaces.{workspace}: another workspace has the same key
    SharedKey {
        /// Name of the workspace.
        workspace: Name,
    },
}

/// Returns all faults of a draft; it is valid if there are none.
pub(super) fn check(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_services(draft, &mut findings);
    let services: HashSet<&Name> = draft.services.iter().map(|service| &service.name).collect();
    let mut prefixes = HashSet::new();
    for route in &draft.routes {
        check_route(route, &services, &mut findings);
        if !prefixes.insert((&route.host, &route.prefix)) {
            findings.push(Finding::DuplicateRoute { route: route.name.clone() });
        }
    }
    check_keys(draft, &mut findings);
    findings
}

fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut names = HashSet::new();
    for service in &draft.services {
        if !names.insert(&service.name) {
            findings.push(Finding::DuplicateService { service: service.name.clone() });
        }
    }
}

fn check_route(route: &Route, services: &HashSet<&Name>, findings: &mut Vec<Finding>) {
    let name = || route.name.clone();
    for share in &route.split {
        if !services.contains(&share.service) {
            let service = share.service.clone();
            findings.push(Finding::UnknownService { route: name(), service });
        }
    }
    if route.split.iter().all(|share| share.weight == 0) {
        findings.push(Finding::ZeroWeight { route: name() });
    }
    if route.timeout.is_zero() {
        findings.push(Finding::ZeroTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.push(Finding::InvalidPrefix { route: name() });
    }
}

fn check_keys(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut holders = std::collections::HashMap::new();
    for workspace in draft.workspaces.iter().flatten() {
        for key in &workspace.keys {
            let holder = holders.insert(key, &workspace.name);
            if holder.is_some_and(|holder| *holder != workspace.name) {
                findings.push(Finding::SharedKey { workspace: workspace.name.clone() });
            }
        }
    }
}
