//! The configuration as one document.
//!
//! Operators send the whole document under a version of their own. The highest version is in force;
//! a document is accepted or refused as a whole, with all findings at once.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Name;

mod check;

pub use self::check::Finding;

/// A validated configuration with the lookups that requests need.
#[derive(Debug, Default)]
pub struct Document {
    /// Version chosen by the operators; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: HashMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// What callers may send and how long they may take.
    pub limits: Limits,
    /// Workspaces by key; none if the document has no workspaces, and callers then need no key.
    keys: Option<HashMap<Name, Arc<Workspace>>>,
}

/// Parts of a document as an operator sent them, not yet validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Version chosen by the operators.
    pub version: u64,
    /// Routes in the order in which they were sent.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Workspaces; none if the document has no such part.
    pub workspaces: Option<Vec<Workspace>>,
}

/// How often the work of a request may be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of events.
    Streaming,
}

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers address, in lower case.
    pub host: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Name,
    /// How often the work may be done.
    pub kind: Kind,
    /// Longest time to keep a caller waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that callers aim for.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Services with their weights.
    pub split: SmallVec<[Share; 2]>,
    /// Endpoints that one request may be sent to at most.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a broken stream may be continued on another endpoint.
    pub resumable: bool,
    /// Longest pause between two events of a stream that callers accept.
    pub event_gap: Option<Duration>,
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Connections that one endpoint accepts from all callers together; 0 if unknown.
    pub max_connections: u32,
    /// What is known of its model engines; none for a plain service.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Models, each served by groups of a fixed size.
    pub models: Vec<Model>,
    /// Milliseconds of one decoding step without requests.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub per_sequence_ms: f64,
    /// Prompt tokens that a group reads in a second.
    pub prompt_tokens_per_s: f64,
    /// Loads from the weight store that may begin in a second.
    pub loads_per_s: f64,
    /// Typical prompt tokens of a request.
    pub typical_prompt_tokens: f64,
    /// Typical generated tokens of a request.
    pub typical_output_tokens: f64,
}

/// A model and the groups that serve it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Members of a group.
    pub size: usize,
    /// Part of the work that is expected for this model at the start.
    pub share: f64,
    /// Factor on all times of a group of this model.
    pub time_factor: f64,
    /// Time to load the model from the weight store.
    pub cold_load: Duration,
    /// Time to load the model from the VM that holds it.
    pub warm_load: Duration,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Time for a request head.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Rank that goes before that of the route; none to use the route's.
    pub priority: Option<u32>,
}

/// What a document says of the key of a request.
#[derive(Clone, Debug)]
pub enum Access {
    /// The document has no workspaces.
    Open,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// No workspace holds the key.
    Denied,
}

impl Document {
    /// Validates a draft.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn build(draft: Draft) -> Result<Document, Vec<Finding>> {
        let findings = check::check(&draft);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut routes: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in draft.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = draft.workspaces.map(|workspaces| {
            let mut keys = HashMap::new();
            for workspace in workspaces.into_iter().map(Arc::new) {
                for key in &workspace.keys {
                    keys.insert(key.clone(), workspace.clone());
                }
            }
            keys
        });
        let services =
            draft.services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Ok(Document { version: draft.version, routes, services, limits: draft.limits, keys })
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Looks up the workspace of a key.
    pub fn access(&self, key: Option<&str>) -> Access {
        let Some(keys) = &self.keys else { return Access::Open };
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => Access::Workspace(workspace.clone()),
            None => Access::Denied,
        }
    }
}

impl Route {
    /// Whether a request may be sent again once it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Chooses a service by weight. `draw` is a random number.
    pub fn choose_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw % total.max(1);
        for share in &self.split {
            if left < u64::from(share.weight) {
                return Some(&share.service);
            }
            left -= u64::from(share.weight);
        }
        None
    }
}

impl Engine {
    /// Seconds of one group's time that a request of the model takes on a busy group.
    pub fn group_seconds(&self, model: &Model, prompt_tokens: f64, output_tokens: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let token_ms = (self.step_ms + self.per_sequence_ms * slots) / slots;
        let read_ms = prompt_tokens * 1000.0 / self.prompt_tokens_per_s.max(1.0);
        model.time_factor * (read_ms + output_tokens * token_ms) / 1000.0
    }
}
