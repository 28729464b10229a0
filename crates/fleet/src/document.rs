//! The configuration document: routes, services, limits and workspaces.
//!
//! Operators always send the whole document, with a version that they choose. The highest version
//! is in force. A document is accepted or refused as a whole, and a refusal lists all findings.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::Name;

mod check;

pub use self::check::Finding;

/// A validated configuration, indexed for the lookups of the request path.
#[derive(Debug, Default)]
pub struct Document {
    /// Version chosen by the operators; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: HashMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Limits on the size and the time of what callers send.
    pub limits: Limits,
    /// Workspaces by key; none if the document does not define workspaces, in which case callers
    /// need no key.
    keys: Option<HashMap<Name, Arc<Workspace>>>,
}

/// Parts of a document as decoded from an operator's bytes, before validation.
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
    /// Workspaces; none if the document does not define workspaces.
    pub workspaces: Option<Vec<Workspace>>,
}

/// How requests of a route may be executed and retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered with a stream of events; may run more than once only if the route is resumable.
    Streaming,
}

/// Routing of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers address, in lower case.
    pub host: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Name,
    /// How requests may be executed and retried.
    pub kind: Kind,
    /// Time from the arrival of a request to its complete response; a request that takes longer is
    /// answered with a timeout.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream. The time for which a
    /// request may be queued is derived from it.
    pub target_latency: Duration,
    /// Priority in the queue; 0 is the highest.
    pub priority: u32,
    /// Services that share the requests, with their weights.
    pub split: SmallVec<[Share; 2]>,
    /// Attempts for one request at most, the first included; a failed connect does not count.
    pub max_attempts: u32,
    /// Whether requests are accepted without a valid key.
    pub public: bool,
    /// Whether a stream that broke off may be continued on another endpoint.
    pub resumable: bool,
    /// Target for the longest pause between two events of a stream.
    pub event_gap: Option<Duration>,
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight; the share is this weight divided by the sum of the route's weights.
    pub weight: u32,
}

/// A service: endpoints that can serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Connections that one endpoint accepts in total; 0 if unknown.
    pub max_connections: u32,
    /// Its model engines; none for a plain service, whose endpoints serve no models.
    pub engine: Option<Engine>,
}

/// Models and performance parameters of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a group can run concurrently.
    pub slots: u32,
    /// Models, each served by groups of a fixed size.
    pub models: Vec<Model>,
    /// Fixed part of the duration of a decoding step, in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a decoding step.
    pub per_sequence_ms: f64,
    /// Prompt tokens that a group processes per second.
    pub prompt_tokens_per_s: f64,
    /// Model loads from the weight store that may begin per second.
    pub loads_per_s: f64,
    /// Concurrent model loads from the weight store beyond which each takes longer; 0 if unknown.
    pub loads_at_once: u32,
    /// Prompt tokens of a typical request.
    pub typical_prompt_tokens: f64,
    /// Generated tokens of a typical request.
    pub typical_output_tokens: f64,
}

/// A model and the groups that serve it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Number of members of a group.
    pub size: usize,
    /// Expected share of this model in the work of the service, relative to the other models; used
    /// while the measured demand is low.
    pub share: f64,
    /// Factor by which the processing times that follow from the engine parameters are multiplied
    /// for this model.
    pub time_factor: f64,
    /// Time to load the model onto a VM that does not have its weights, from the weight store.
    pub cold_load: Duration,
    /// Time to load the model when its weights are already on the VM.
    pub warm_load: Duration,
}

/// Limits on what callers send; a request or connection beyond them is refused or closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without requests is closed.
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
    /// Priority that overrides that of the route; none to use the route's.
    pub priority: Option<u32>,
}

/// Result of looking up the key of a request.
#[derive(Clone, Debug)]
pub enum Access {
    /// The document does not define workspaces, so no key is needed.
    Open,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// The request has no key, or one that belongs to no workspace.
    Denied,
}

impl Document {
    /// Validates a draft and builds the lookups.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any.
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

    /// The route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Looks up the workspace of a request's key.
    pub fn access(&self, key: Option<&str>) -> Access {
        let Some(keys) = &self.keys else { return Access::Open };
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => Access::Workspace(workspace.clone()),
            None => Access::Denied,
        }
    }
}

impl Route {
    /// Whether a request may be retried although an earlier attempt may have run it.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Chooses a service by weight; none if all weights are 0. `random` is any random number.
    pub fn choose_service(&self, random: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = random % total.max(1);
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
    /// Work of one request in group-seconds: the share of a group's time that it takes while all
    /// slots of the group are busy.
    pub fn group_seconds(&self, model: &Model, prompt_tokens: f64, output_tokens: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let token_ms = (self.step_ms + self.per_sequence_ms * slots) / slots;
        let prefill_ms = prompt_tokens * 1000.0 / self.prompt_tokens_per_s.max(1.0);
        model.time_factor * (prefill_ms + output_tokens * token_ms) / 1000.0
    }
}
