//! The configuration in force, parsed and with the selectors of services resolved.

use std::collections::BTreeMap;

use crate::control::configuration::{Configuration, Key};
use crate::object::{Drain, Group, Service, Spec, Workspace};
use crate::route::Target;
use crate::selector::Labels;
use crate::Name;

/// A service with the routes to which its selectors resolve.
#[derive(Clone, Debug)]
pub struct ResolvedService {
    /// The service.
    pub service: Service,
    /// Routes to which its requests may be sent.
    pub target: Target,
}

/// A parsed object.
#[derive(Clone, Debug)]
struct Parsed {
    /// Version of the object from which `spec` was parsed.
    version: u64,
    spec: Spec,
}

/// All objects of the configuration in force.
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
    /// Workspaces by the SHA-256 of their bearer token.
    workspace_by_key: BTreeMap<Name, Name>,
    /// Objects as last parsed, reused while their versions stay the same.
    parsed: BTreeMap<Key, Parsed>,
}

impl View {
    /// Name of the workspace whose bearer token has this SHA-256, in hexadecimal.
    pub fn workspace_of_key(&self, key_sha256: &str) -> Option<&Name> {
        self.workspace_by_key.get(key_sha256)
    }

    /// Whether the selector of any drain matches these labels of a VM.
    pub fn is_drained(&self, labels: &Labels) -> bool {
        self.drains.values().any(|drain| drain.selector.matches(labels))
    }

    /// Replaces the objects by those of `configuration` if its revision differs. Only objects whose
    /// version has changed are parsed again; objects that can't be parsed are left out.
    pub fn update(&mut self, configuration: &Configuration) {
        if configuration.revision() == self.revision {
            return;
        }
        self.revision = configuration.revision();
        let mut parsed = BTreeMap::new();
        for object in configuration.objects() {
            let key = Key { kind: object.kind, name: object.name.clone() };
            let previous =
                self.parsed.remove(&key).filter(|previous| previous.version == object.version);
            let body = object.body.as_deref().unwrap_or_default();
            let version = object.version;
            let parse = || Spec::parse(object.kind, body).ok();
            let spec = previous.map(|previous| previous.spec).or_else(parse);
            if let Some(spec) = spec {
                parsed.insert(key, Parsed { version, spec });
            }
        }
        self.parsed = parsed;
        self.index_objects();
        self.resolve_targets();
    }

    /// Rebuilds the maps of objects by kind from the parsed objects.
    fn index_objects(&mut self) {
        self.groups.clear();
        self.services.clear();
        self.workspaces.clear();
        self.drains.clear();
        self.workspace_by_key.clear();
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
                    self.workspace_by_key.insert(workspace.key_sha256.clone(), name.clone());
                    self.workspaces.insert(name, workspace.clone());
                }
                Spec::Drain(drain) => {
                    self.drains.insert(name, drain.clone());
                }
            }
        }
    }

    /// Resolves the selectors of each service to its target.
    fn resolve_targets(&mut self) {
        for resolved in self.services.values_mut() {
            if let Some(selector) = &resolved.service.endpoints {
                resolved.target = Target::Endpoints(selector.clone());
            }
            if let Some(selector) = &resolved.service.groups {
                let groups = self.groups.iter();
                let matching = groups.filter(|(_, group)| selector.matches(&group.labels));
                resolved.target = Target::Groups(matching.map(|(name, _)| name.clone()).collect());
            }
        }
    }
}
