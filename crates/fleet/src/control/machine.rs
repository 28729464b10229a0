//! The replicated state: the newest document and the serving groups.
//!
//! It is deterministic and knows no clock. A group's epoch is the index of the log entry that placed
//! it, so epochs rise over new leaders, restarts and lost disks.

use std::collections::BTreeMap;

use prost::{Message, Oneof};

use crate::Name;

/// A document as the operator sent it.
#[derive(Clone, PartialEq, Message)]
pub struct Put {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The operator's bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

/// A member of a group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation that was placed.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// IP address and port.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Creates a group.
#[derive(Clone, PartialEq, Message)]
pub struct Place {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Members, the head first.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<Member>,
}

/// Why a group is to be dissolved.
#[derive(Clone, PartialEq, Message)]
pub struct Doom {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Whether running requests may finish.
    #[prost(bool, tag = "2")]
    pub graceful: bool,
}

/// A change of the replicated state.
#[derive(Clone, PartialEq, Oneof)]
pub enum Change {
    /// Sets the document if its version is higher than the one in force.
    #[prost(message, tag = "1")]
    Put(Put),
    /// Creates a group.
    #[prost(message, tag = "2")]
    Place(Place),
    /// Takes a group out of service; its members stay reserved.
    #[prost(message, tag = "3")]
    Doom(Doom),
    /// Removes a group, so that its members may be placed again.
    #[prost(string, tag = "4")]
    Remove(String),
    /// Callers have sent their first request.
    #[prost(bool, tag = "5")]
    Begin(bool),
}

/// An entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The change.
    #[prost(oneof = "Change", tags = "1, 2, 3, 4, 5")]
    pub change: Option<Change>,
}

/// A serving group.
#[derive(Clone, PartialEq, Message)]
pub struct Group {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Generation, higher than that of each group placed before.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Members, the head first.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<Member>,
    /// Whether it is being dissolved and takes no requests.
    #[prost(bool, tag = "6")]
    pub doomed: bool,
    /// Whether its running requests may finish.
    #[prost(bool, tag = "7")]
    pub graceful: bool,
}

/// The replicated state.
#[derive(Clone, PartialEq, Message)]
pub struct Machine {
    /// Newest document.
    #[prost(message, optional, tag = "1")]
    pub document: Option<Put>,
    /// Groups by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub groups: BTreeMap<String, Group>,
    /// Whether callers have sent requests.
    #[prost(bool, tag = "3")]
    pub begun: bool,
}

impl Machine {
    /// Version of the document, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Applies a committed change.
    pub fn apply(&mut self, index: u64, change: Change) {
        match change {
            Change::Put(put) => {
                if put.version > self.version() {
                    self.document = Some(put);
                }
            }
            Change::Place(place) => self.place(index, place),
            Change::Doom(doom) => {
                if let Some(group) = self.groups.get_mut(&doom.group) {
                    group.graceful = doom.graceful && (group.graceful || !group.doomed);
                    group.doomed = true;
                }
            }
            Change::Remove(name) => {
                self.groups.remove(&name);
            }
            Change::Begin(begun) => self.begun |= begun,
        }
    }

    /// Group that holds an endpoint.
    pub fn holder(&self, id: &str) -> Option<&Group> {
        self.groups.values().find(|group| group.members.iter().any(|member| member.id == id))
    }

    /// Creates a group unless one of its members is already held.
    fn place(&mut self, index: u64, place: Place) {
        if place.members.iter().any(|member| self.holder(&member.id).is_some()) {
            return;
        }
        let name = format!("g{index}");
        let group = Group {
            name: name.clone(),
            epoch: index,
            service: place.service,
            model: place.model,
            members: place.members,
            doomed: false,
            graceful: false,
        };
        self.groups.insert(name, group);
    }
}

impl Group {
    /// The member that takes the requests.
    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Identities of the members, the head first.
    pub fn member_names(&self) -> smallvec::SmallVec<[Name; 8]> {
        self.members.iter().map(|member| member.id.as_str().into()).collect()
    }
}
