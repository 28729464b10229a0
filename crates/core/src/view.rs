//! The configuration as the decisions read it: parsed, and linked by its selectors.

use std::collections::BTreeMap;

use crate::control::configuration::{Configuration, Key};
use crate::object::{Drain, Group, Service, Spec, Workspace};
use crate::route::Target;
use crate::selector::Labels;
use crate::Name;

/// A service with the routes that it may use.
#[derive(Clone, Debug)]
pub struct ResolvedService {
    /// The service.
    pub service: Service,
    /// Where its requests go.
    pub target: Target,
}

/// Parsed object with the version that it was parsed from.
#[derive(Clone, Debug)]
struct Parsed {
    version: u64,
    spec: Spec,
}

/// All objects in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the configuration.
    pub revision: u64,
    /// Serving groups by name.
    pub groups: BTreeMap<Name, Group>,
    /// Services by name.
    pub services: BTreeMap<Name, ResolvedService>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Drains by name.
    pub drains: BTreeMap<Name, Drain>,
    keys: BTreeMap<Name, Name>,
    parsed: BTreeMap<Key, Parsed>,
}

impl View {
    /// Workspace whose key has this hash.
    pub fn workspace_of_key(&self, key_sha256: &str) -> Option<&Name> {
        self.keys.get(key_sha256)
    }

    /// Whether a VM with these labels is being drained.
    pub fn is_drained(&self, labels: &Labels) -> bool {
        self.drains.values().any(|drain| drain.selector.matches(labels))
    }

    /// Takes over a configuration; only objects whose version is new are parsed.
    pub fn update(&mut self, configuration: &Configuration) {
        if configuration.revision() == self.revision {
            return;
        }
        self.revision = configuration.revision();
        let mut parsed = BTreeMap::new();
        for object in configuration.objects() {
            let key = Key { kind: object.kind, name: object.name.clone() };
            let known = self.parsed.remove(&key).filter(|known| known.version == object.version);
            let body = object.body.as_deref().unwrap_or_default();
            let version = object.version;
            let fresh = || Spec::parse(object.kind, body).ok();
            let spec = known.map(|known| known.spec).or_else(fresh);
            if let Some(spec) = spec {
                parsed.insert(key, Parsed { version, spec });
            }
        }
        self.parsed = parsed;
        self.sort();
        self.link();
    }

    fn sort(&mut self) {
        self.groups.clear();
        self.services.clear();
        self.workspaces.clear();
        self.drains.clear();
        self.keys.clear();
        for (key, parsed) in &self.parsed {
            let name = key.name.clone();
            match &parsed.spec {
                Spec::Group(group) => {
                    self.groups.insert(name, group.clone());
                }
                Spec::Service(service) => {
                    let target = Target::Groups(Vec::new());
                    self.services
                        .insert(name, ResolvedService { service: service.clone(), target });
                }
                Spec::Workspace(workspace) => {
                    self.keys.insert(workspace.key_sha256.clone(), name.clone());
                    self.workspaces.insert(name, workspace.clone());
                }
                Spec::Drain(drain) => {
                    self.drains.insert(name, drain.clone());
                }
            }
        }
    }

    fn link(&mut self) {
        for linked in self.services.values_mut() {
            if let Some(selector) = &linked.service.endpoints {
                linked.target = Target::Endpoints(selector.clone());
            }
            if let Some(selector) = &linked.service.groups {
                let groups = self.groups.iter();
                let matching = groups.filter(|(_, group)| selector.matches(&group.labels));
                linked.target = Target::Groups(matching.map(|(name, _)| name.clone()).collect());
            }
        }
    }
}
