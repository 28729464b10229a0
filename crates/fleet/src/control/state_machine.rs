//! The state machine of the replicated log: the newest document and the serving groups.
//!
//! It is deterministic and does not read a clock. A group's epoch is the index of the log entry
//! that created it. Epochs therefore increase across leader changes, restarts and disk losses.

use std::collections::BTreeMap;

use prost::{Message, Oneof};

use crate::patch::Patch;
use crate::Name;

/// A member of a serving group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start time of the incarnation that became a member, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// IP address and port of the endpoint.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Command to create a group; its name and epoch follow from the index of the log entry.
#[derive(Clone, PartialEq, Message)]
pub struct GroupPlacement {
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

/// Command to dissolve a group.
#[derive(Clone, PartialEq, Message)]
pub struct GroupDissolution {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Whether running requests may finish.
    #[prost(bool, tag = "2")]
    pub graceful: bool,
}

/// Command to record whether orders to a group may still be carried out.
#[derive(Clone, PartialEq, Message)]
pub struct GroupSettlement {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation of the group.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// New value of [`Group::settled`].
    #[prost(bool, tag = "3")]
    pub settled: bool,
    /// New value of [`Group::settlement`].
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// The head of a removed group that may open it again, because orders to it were not answered and none is known
/// to have made them void.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeldHead {
    /// The head.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// Name of the group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Generation of the group.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Model of the group, empty if it is not known.
    #[prost(string, tag = "4")]
    pub model: String,
}

/// Command to end the hold on a head.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeadRelease {
    /// Identity of the head.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Generation of the group for which it was held.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// A change of the replicated state.
#[derive(Clone, PartialEq, Oneof)]
pub enum Change {
    /// Replaces the document if the version is higher than that of the current one.
    #[prost(message, tag = "6")]
    SetDocument(Patch),
    /// Creates a group, unless one of its members already belongs to a group.
    #[prost(message, tag = "2")]
    CreateGroup(GroupPlacement),
    /// Takes a group out of service; its members remain reserved until the group is removed. If the
    /// group is already being dissolved, this can end its graceful dissolution, but not start one.
    #[prost(message, tag = "3")]
    DissolveGroup(GroupDissolution),
    /// Removes the named group, which frees its members for other groups.
    #[prost(string, tag = "4")]
    RemoveGroup(String),
    /// Records that callers have sent requests; `false` changes nothing.
    #[prost(bool, tag = "5")]
    MarkTraffic(bool),
    /// Records whether orders to a group may still be carried out; ignored by older builds.
    #[prost(message, tag = "7")]
    SettleGroup(GroupSettlement),
    /// Holds the head of a group that is about to be removed; ignored by older builds.
    #[prost(message, tag = "8")]
    HoldHead(HeldHead),
    /// Ends the hold on a head; ignored by older builds.
    #[prost(message, tag = "9")]
    ReleaseHead(HeadRelease),
}

/// The command of a log entry.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The change; none if the entry changes nothing.
    #[prost(oneof = "Change", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub change: Option<Change>,
}

/// A serving group.
#[derive(Clone, PartialEq, Message)]
pub struct Group {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Generation, higher than that of every group created before.
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
    /// Whether it is being dissolved and takes no new requests.
    #[prost(bool, tag = "6")]
    pub dissolving: bool,
    /// Whether running requests may finish while it is being dissolved.
    #[prost(bool, tag = "7")]
    pub graceful: bool,
    /// Whether all orders to join or open it have been answered, and none is sent before this is taken back. If
    /// not, orders of any leader may still be carried out. Not set for groups of older builds.
    #[prost(bool, tag = "8")]
    pub settled: bool,
    /// Number of the last change of `settled`, 0 before the first.
    #[prost(uint64, tag = "9")]
    pub settlement: u64,
}

/// The replicated state.
#[derive(Clone, PartialEq, Message)]
pub struct StateMachine {
    /// Newest document, compressed and complete by itself; none before the first.
    #[prost(message, optional, tag = "4")]
    pub document: Option<Patch>,
    /// Groups by name.
    #[prost(btree_map = "string, message", tag = "2")]
    pub groups: BTreeMap<String, Group>,
    /// Whether callers have ever sent requests.
    #[prost(bool, tag = "3")]
    pub traffic_seen: bool,
    /// Heads that are held, by identity. Which groups may be created doesn't depend on them, as older builds don't
    /// know them; the leader asks no held head to join a group.
    #[prost(btree_map = "string, message", tag = "5")]
    pub held_heads: BTreeMap<String, HeldHead>,
}

impl StateMachine {
    /// Version of the document, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Applies the committed change of the log entry at `index`.
    pub fn apply(&mut self, index: u64, change: Change) {
        match change {
            Change::SetDocument(document) => {
                if document.version > self.version() {
                    self.document = Some(document);
                }
            }
            Change::CreateGroup(placement) => self.create_group(index, placement),
            Change::DissolveGroup(dissolution) => {
                if let Some(group) = self.groups.get_mut(&dissolution.group) {
                    group.graceful = dissolution.graceful && (group.graceful || !group.dissolving);
                    group.dissolving = true;
                }
            }
            Change::RemoveGroup(name) => {
                self.groups.remove(&name);
            }
            Change::HoldHead(head) => self.hold_head(head),
            Change::ReleaseHead(release) => {
                let held = self.held_heads.get(&release.id);
                if held.is_some_and(|held| held.epoch <= release.epoch) {
                    self.held_heads.remove(&release.id);
                }
            }
            Change::MarkTraffic(seen) => self.traffic_seen |= seen,
            Change::SettleGroup(settlement) => {
                let group = self.groups.get_mut(&settlement.group);
                if let Some(group) = group.filter(|group| group.epoch == settlement.epoch) {
                    group.settled = settlement.settled;
                    group.settlement = settlement.number;
                }
            }
        }
    }

    /// The group that an endpoint belongs to, even if it is being dissolved.
    pub fn group_of(&self, id: &str) -> Option<&Group> {
        self.groups.values().find(|group| group.members.iter().any(|member| member.id == id))
    }

    /// Whether this incarnation of an endpoint is held as the head of this generation of a group, or a later one.
    pub fn holds(&self, head: &Member, epoch: u64) -> bool {
        self.held_heads.get(&head.id).is_some_and(|held| {
            held.epoch >= epoch
                && held.member.as_ref().map(|member| member.started_unix_ms)
                    == Some(head.started_unix_ms)
        })
    }

    /// Holds a head, unless it is held for a later generation.
    fn hold_head(&mut self, head: HeldHead) {
        let Some(member) = &head.member else { return };
        let held = self.held_heads.get(&member.id);
        if held.is_none_or(|held| held.epoch <= head.epoch) {
            self.held_heads.insert(member.id.clone(), head);
        }
    }

    /// Creates a group named after the log index, unless one of its members already belongs to a
    /// group.
    fn create_group(&mut self, index: u64, placement: GroupPlacement) {
        if placement.members.iter().any(|member| self.group_of(&member.id).is_some()) {
            return;
        }
        let name = format!("g{index}");
        let group = Group {
            name: name.clone(),
            epoch: index,
            service: placement.service,
            model: placement.model,
            members: placement.members,
            ..Group::default()
        };
        self.groups.insert(name, group);
    }
}

impl Group {
    /// The first member, which takes the requests for the group.
    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Identities of the members, the head first.
    pub fn member_ids(&self) -> smallvec::SmallVec<[Name; 8]> {
        self.members.iter().map(|member| member.id.as_str().into()).collect()
    }
}
