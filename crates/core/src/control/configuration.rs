//! Versioned configuration objects that operators create, replace and delete.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{Change, NewBar, Outcome};
use crate::object::Kind;
use crate::Name;

/// Operation ids whose outcomes are kept. A change that is resent after its outcome was dropped is
/// applied again.
const OPERATIONS_KEPT: usize = 20_000;

/// Key of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique within its kind.
    pub name: Name,
}

/// Current state of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique within its kind.
    pub name: Name,
    /// Grows by one with each change, including deletion and a later creation under the same name.
    pub version: u64,
    /// Body as the operator sent it; none if the object is deleted.
    pub body: Option<String>,
}

/// Outcome of an earlier change, returned again if the operator's command resends the change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Operation {
    /// Operation id that the operator's command chose.
    id: String,
    outcome: Outcome,
}

/// All configuration objects, and the outcomes of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Configuration {
    /// Number of accepted changes.
    revision: u64,
    /// Objects, including deleted ones, whose versions must not start again.
    objects: BTreeMap<Key, Object>,
    /// Outcomes of recent changes by operation id.
    operations: BTreeMap<String, Outcome>,
    /// Operation ids, oldest first.
    operation_order: VecDeque<String>,
}

/// Serialized form of [`Configuration`] in a snapshot; lists replace the maps.
#[derive(Clone, Serialize, Deserialize)]
struct Stored {
    revision: u64,
    /// Objects, including deleted ones.
    objects: Vec<Object>,
    /// Outcomes of recent changes, oldest first.
    operations: Vec<Operation>,
}

impl From<Stored> for Configuration {
    fn from(stored: Stored) -> Configuration {
        let key = |object: &Object| Key { kind: object.kind, name: object.name.clone() };
        let operation_order =
            stored.operations.iter().map(|operation| operation.id.clone()).collect();
        Configuration {
            revision: stored.revision,
            objects: stored.objects.into_iter().map(|object| (key(&object), object)).collect(),
            operations: stored.operations.into_iter().map(|o| (o.id, o.outcome)).collect(),
            operation_order,
        }
    }
}

impl From<Configuration> for Stored {
    fn from(configuration: Configuration) -> Stored {
        let operations = &configuration.operations;
        let operation = |id: &String| Operation {
            id: id.clone(),
            outcome: operations.get(id).cloned().unwrap_or_default(),
        };
        Stored {
            revision: configuration.revision,
            operations: configuration.operation_order.iter().map(operation).collect(),
            objects: configuration.objects.into_values().collect(),
        }
    }
}

impl Configuration {
    /// Number of accepted changes, which serves as the version of the whole configuration.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Objects that are not deleted.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().filter(|object| object.body.is_some())
    }

    /// One object, if it exists.
    pub fn object(&self, kind: Kind, name: &str) -> Option<&Object> {
        let key = Key { kind, name: name.into() };
        self.objects.get(&key).filter(|object| object.body.is_some())
    }

    /// Applies a change. A change whose operation id is known is not applied again and gets the
    /// outcome of the first time.
    pub(super) fn apply(&mut self, change: Change) -> Outcome {
        if let Some(outcome) = self.operations.get(&change.operation) {
            return outcome.clone();
        }
        let operation = change.operation.clone();
        let outcome = self.apply_new(change);
        self.record_outcome(operation, outcome.clone());
        outcome
    }

    /// Applies a change that was not seen before, if its expected version matches.
    fn apply_new(&mut self, change: Change) -> Outcome {
        let Some(kind) = Kind::from_repr(change.kind) else {
            return Outcome::of(NewBar::Refused);
        };
        let key = Key { kind, name: change.name.as_str().into() };
        let current = self.objects.get(&key);
        let version = current.map_or(0, |object| object.version);
        let exists = current.is_some_and(|object| object.body.is_some());
        let visible_version = if exists { version } else { 0 };
        if change.expected.is_some_and(|expected| expected != visible_version) {
            let holder = current.and_then(|object| object.body.clone()).unwrap_or_default();
            let bar = NewBar::Conflict as i32;
            let revision = self.revision;
            let outcome =
                Outcome { bar, version: visible_version, revision, holder, ..Outcome::default() };
            return outcome;
        }
        if change.body.is_none() && !exists {
            return Outcome::of(NewBar::Missing);
        }
        self.revision += 1;
        let version = version + 1;
        let name = key.name.clone();
        self.objects.insert(key, Object { kind, name, version, body: change.body });
        Outcome { version, revision: self.revision, ..Outcome::of(NewBar::Accepted) }
    }

    /// Keeps the outcome of a change for resent ones; a change without an operation id is not kept.
    fn record_outcome(&mut self, operation: String, outcome: Outcome) {
        if operation.is_empty() {
            return;
        }
        self.operations.insert(operation.clone(), outcome);
        self.operation_order.push_back(operation);
        if self.operation_order.len() > OPERATIONS_KEPT {
            if let Some(oldest) = self.operation_order.pop_front() {
                self.operations.remove(&oldest);
            }
        }
    }
}
