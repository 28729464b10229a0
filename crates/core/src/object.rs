//! Configuration objects that operators create: serving groups, services, workspaces and drains.
//!
//! An object is stored as the JSON text that the operator applied, once [`Spec::parse`] has
//! accepted it, together with a version that increases by one with each change of that object.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString, FromRepr};

use crate::selector::{Labels, Selector};
use crate::Name;

/// Kind of a configuration object.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    StrumDisplay,
    EnumString,
    FromRepr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
#[repr(u32)]
pub enum Kind {
    /// Replicas of one model, each run by one or more VMs together.
    ServingGroup = 1,
    /// Name that callers use in requests, with the routes behind it.
    Service = 2,
    /// A customer with its key, limits and share.
    Workspace = 3,
    /// Selects VMs that are to be emptied.
    Drain = 4,
}

/// A serving group: how many replicas of a model to run, on which VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Group {
    /// Labels of the serving group itself, for the selectors of services.
    #[serde(default)]
    pub labels: Labels,
    /// Model, including its version, that the endpoints load.
    pub model: Name,
    /// Number of VMs of each replica; all are in one fabric domain.
    pub members: u32,
    /// Number of replicas, spread evenly over the availability zones that the selector permits. One
    /// replica is called a *group instance* and named `serving-group/zone/number`.
    pub replicas: u32,
    /// VMs that may become members.
    #[serde(default)]
    pub selector: Selector,
}

/// A service: the name that callers use, and what runs its requests. A *model service* has serving
/// groups behind it, a *plain service* has single endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Labels of the service itself, for the selectors of workspaces.
    #[serde(default)]
    pub labels: Labels,
    /// Serving groups behind a model service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Selector>,
    /// Endpoints behind a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<Selector>,
    /// Path prefixes of a plain service under which calls are idempotent whatever their method. All
    /// other calls except `GET`, `HEAD` and `OPTIONS` are non-idempotent.
    #[serde(default)]
    pub idempotent: Vec<Name>,
    /// Upper limit of a request's timeout in milliseconds; also used if the caller sets none.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

/// A workspace: one customer of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Workspace {
    /// Labels of the workspace.
    #[serde(default)]
    pub labels: Labels,
    /// SHA-256 of the bearer token in lower-case hexadecimal.
    pub key_sha256: Name,
    /// Services that the workspace may call.
    #[serde(default)]
    pub services: Selector,
    /// Weight of the workspace in fair queueing.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Most urgent priority that its requests may ask for, 0 being the most urgent; a more urgent
    /// one is lowered to this.
    #[serde(default)]
    pub priority: u8,
    /// Requests that may wait at the same time for one service in one daemon.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Requests per second over the whole system, 0 for no limit; each daemon enforces an equal
    /// part.
    #[serde(default)]
    pub rate: u32,
}

/// A drain: VMs that are released from their groups and receive no new ones until it is deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Drain {
    /// Labels of the drain itself.
    #[serde(default)]
    pub labels: Labels,
    /// VMs to drain.
    pub selector: Selector,
}

/// Default of [`Service::deadline_ms`].
fn default_deadline() -> u64 {
    30_000
}

/// Default of [`Workspace::share`].
fn default_share() -> u32 {
    1
}

/// Default of [`Workspace::queue`].
fn default_queue() -> u32 {
    256
}

/// A parsed object of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Spec {
    /// A serving group.
    Group(Group),
    /// A service.
    Service(Service),
    /// A workspace.
    Workspace(Workspace),
    /// A drain.
    Drain(Drain),
}

/// Why the body of an object is invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// invalid {kind}: {detail}
    Shape {
        /// Expected kind of the object.
        kind: Kind,
        /// Error of the JSON parser, with line and column.
        detail: String,
    },
    /// {field}: {detail}
    Field {
        /// Name of the invalid field.
        field: &'static str,
        /// Requirement that the field does not meet.
        detail: &'static str,
    },
}

impl std::error::Error for Error {}

/// Whether `name` is a valid object name: 1 to 63 ASCII letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= 63 && name.chars().all(allowed)
}

impl Spec {
    /// Parses and validates the body of an object.
    ///
    /// # Errors
    ///
    /// Returns one [`Error::Shape`] if the body can't be parsed, else an [`Error::Field`] for each
    /// invalid field.
    ///
    /// ```
    /// use dotterelhoist_core::object::{Kind, Spec};
    ///
    /// let body = r#"{"model": "m-1", "members": 0, "replicas": 1}"#;
    /// let errors = Spec::parse(Kind::ServingGroup, body).unwrap_err();
    /// assert_eq!(errors[0].to_string(), "members: must be from 1 to 64");
    /// ```
    pub fn parse(kind: Kind, body: &str) -> Result<Spec, Vec<Error>> {
        let spec = match kind {
            Kind::ServingGroup => serde_json::from_str(body).map(Spec::Group),
            Kind::Service => serde_json::from_str(body).map(Spec::Service),
            Kind::Workspace => serde_json::from_str(body).map(Spec::Workspace),
            Kind::Drain => serde_json::from_str(body).map(Spec::Drain),
        };
        let spec = spec.map_err(|error| vec![Error::Shape { kind, detail: error.to_string() }])?;
        let errors = spec.check();
        if errors.is_empty() {
            return Ok(spec);
        }
        Err(errors)
    }

    /// Returns an error for each field whose value is out of range.
    fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        let mut require = |holds: bool, field, detail| {
            if !holds {
                errors.push(Error::Field { field, detail });
            }
        };
        match self {
            Spec::Group(group) => {
                require(!group.model.is_empty(), "model", "must not be empty");
                require((1..=64).contains(&group.members), "members", "must be from 1 to 64");
                require(group.replicas <= 10_000, "replicas", "must be at most 10000");
            }
            Spec::Service(service) => {
                let exactly_one = service.groups.is_some() != service.endpoints.is_some();
                require(exactly_one, "groups", "set exactly one of `groups` and `endpoints`");
                let in_range = (1..=3_600_000).contains(&service.deadline_ms);
                require(in_range, "deadline-ms", "must be from 1 to 3600000");
            }
            Spec::Workspace(workspace) => {
                let hash = &workspace.key_sha256;
                let is_hex_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
                let is_sha256 = hash.len() == 64 && hash.chars().all(is_hex_digit);
                require(is_sha256, "key-sha256", "must be 64 lower-case hexadecimal digits");
                require((1..=1000).contains(&workspace.share), "share", "must be from 1 to 1000");
                require(workspace.priority <= 9, "priority", "must be from 0 to 9");
                require(workspace.queue <= 100_000, "queue", "must be at most 100000");
            }
            Spec::Drain(drain) => {
                let matches_every_vm = drain.selector == Selector::default();
                require(
                    !matches_every_vm,
                    "selector",
                    "must not be empty: it would drain every VM",
                );
            }
        }
        errors
    }
}
