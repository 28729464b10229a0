//! Entries and snapshots from the leader to the other replicas, and their answers.

use std::time::Duration;

use super::message::{Append, AppendReply, Payload, Snapshot, Voter};
use super::{
    Identity, Instant, Name, Output, Replica, Role, Write, APPEND_BYTES, APPEND_ENTRIES,
    INSTALL_BYTES_PER_MS, INSTALL_INTERVAL,
};

impl Replica {
    pub(super) fn broadcast(&mut self, now: Instant, heartbeat: bool, outputs: &mut Vec<Output>) {
        if heartbeat {
            self.next_heartbeat = now + self.timing.heartbeat;
        }
        let replicas: Vec<Name> = self.progress.keys().cloned().collect();
        for replica in replicas {
            self.send_append(&replica, now, outputs);
        }
    }

    /// Sends what a replica lacks: entries, or the snapshot. While a snapshot is under way it gets
    /// heartbeats that claim nothing about its log, so that it does not miss its leader.
    pub(super) fn send_append(&mut self, replica: &Name, now: Instant, outputs: &mut Vec<Output>) {
        let leader = self.as_voter();
        let bytes = self.log.snapshot().state_machine.len() as u64;
        let interval = INSTALL_INTERVAL + Duration::from_millis(bytes / INSTALL_BYTES_PER_MS);
        let Some(progress) = self.progress.get_mut(replica) else { return };
        if progress.next <= self.log.snapshot().index {
            let waiting = progress.installed.is_some_and(|at| now.since(at) < interval);
            if waiting {
                let append = Append {
                    term: self.term,
                    leader: Some(leader),
                    commit: self.commit,
                    sent_at: now.as_millis(),
                    ..Append::default()
                };
                outputs.push(Output::Send(progress.daemon.clone(), Payload::Append(append)));
                return;
            }
            progress.installed = Some(now);
            let mut snapshot = self.log.snapshot().clone();
            snapshot.leader_term = self.term;
            snapshot.sent_at = now.as_millis();
            snapshot.leader = Some(leader);
            outputs.push(Output::Send(progress.daemon.clone(), Payload::InstallSnapshot(snapshot)));
            return;
        }
        let previous = progress.next - 1;
        let entries = self.log.batch(progress.next, APPEND_ENTRIES, APPEND_BYTES);
        progress.next += entries.len() as u64;
        let append = Append {
            term: self.term,
            leader: Some(leader),
            previous_index: previous,
            previous_term: self.log.term(previous).unwrap_or(0),
            entries,
            commit: self.commit,
            sent_at: now.as_millis(),
        };
        outputs.push(Output::Send(progress.daemon.clone(), Payload::Append(append)));
    }

    /// Accepts the sender as leader of `term`; false if the term is over.
    fn accept_leader(
        &mut self,
        term: u64,
        leader: &Voter,
        now: Instant,
        draw: u64,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if term < self.term || (self.role == Role::Leader && term == self.term) {
            return false;
        }
        let identity = Identity {
            replica: leader.replica.as_str().into(),
            daemon: leader.daemon.as_str().into(),
            weight: leader.weight,
            electable: true,
        };
        self.follow(term, Some(identity), now, draw, outputs);
        self.heard = now;
        self.heard_leader = Some(now);
        self.answered = term;
        true
    }

    pub(super) fn receive_append(
        &mut self,
        now: Instant,
        draw: u64,
        append: Append,
        outputs: &mut Vec<Output>,
    ) {
        let Some(leader) = append.leader else { return };
        let to: Name = leader.daemon.as_str().into();
        let mut reply = AppendReply {
            term: self.term.max(append.term),
            replica: self.identity.replica.to_string(),
            accepted: false,
            index: self.log.last_index(),
            sent_at: append.sent_at,
        };
        if !self.accept_leader(append.term, &leader, now, draw, outputs) {
            outputs.push(Output::Send(to, Payload::AppendReply(reply)));
            return;
        }
        self.leader_commit = append.commit;
        let snapshot = self.log.snapshot().index;
        let matches = append.previous_index < snapshot
            || self.log.term(append.previous_index) == Some(append.previous_term);
        if !matches {
            reply.index = self.log.last_index().min(append.previous_index.saturating_sub(1));
            self.send_durable(to, Payload::AppendReply(reply), outputs);
            return;
        }
        let last = append.previous_index + append.entries.len() as u64;
        let fresh = self.log.first_new(append.entries);
        if !fresh.is_empty() {
            self.log.truncate(fresh[0].index);
            self.log.append(fresh.clone());
            self.persist(Write::Entries(fresh), outputs);
        }
        self.commit = self.commit.max(append.commit.min(last));
        reply.accepted = true;
        self.answer_early(&to, &reply, outputs);
        reply.index = last;
        self.send_durable(to, Payload::AppendReply(reply), outputs);
        self.apply_committed(outputs);
    }

    /// Answers a leader while entries still wait for the disk, so that a slow disk does not cost it its
    /// lease. This answer says nothing of the entries. The ballot must be durable: a replica that forgot
    /// the term could vote against the leader that it has answered.
    fn answer_early(&self, to: &Name, reply: &AppendReply, outputs: &mut Vec<Output>) {
        if self.synced >= self.sequence || self.synced < self.ballot {
            return;
        }
        let reply = AppendReply { index: 0, ..reply.clone() };
        outputs.push(Output::Send(to.clone(), Payload::AppendReply(reply)));
    }

    pub(super) fn receive_append_reply(
        &mut self,
        now: Instant,
        draw: u64,
        reply: AppendReply,
        outputs: &mut Vec<Output>,
    ) {
        if reply.term > self.term {
            self.follow(reply.term, None, now, draw, outputs);
            return;
        }
        if self.role != Role::Leader || reply.term < self.term {
            return;
        }
        let replica: Name = reply.replica.into();
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&replica) else { return };
        progress.answered_at = progress.answered_at.max(reply.sent_at);
        self.heard = now;
        if !reply.accepted {
            progress.next = (reply.index + 1).min(progress.next).max(progress.matched + 1);
            self.send_append(&replica, now, outputs);
            return;
        }
        if reply.index > progress.matched {
            progress.matched = reply.index;
            progress.installed = None;
        }
        progress.next = progress.next.max(progress.matched + 1);
        let behind = progress.next <= last;
        self.advance_commit(now, outputs);
        if behind {
            self.send_append(&replica, now, outputs);
        }
        self.admit_learners(now, outputs);
    }

    pub(super) fn receive_snapshot(
        &mut self,
        now: Instant,
        draw: u64,
        snapshot: Snapshot,
        outputs: &mut Vec<Output>,
    ) {
        let Some(leader) = snapshot.leader.clone() else { return };
        if !self.accept_leader(snapshot.leader_term, &leader, now, draw, outputs) {
            return;
        }
        let reply = AppendReply {
            term: self.term,
            replica: self.identity.replica.to_string(),
            accepted: true,
            index: snapshot.index,
            sent_at: snapshot.sent_at,
        };
        if snapshot.index > self.applied {
            self.log.install(snapshot.clone());
            self.commit = self.commit.max(snapshot.index);
            self.applied = snapshot.index;
            self.persist(Write::Snapshot(snapshot.clone()), outputs);
            outputs.push(Output::Restore(snapshot));
        }
        self.send_durable(leader.daemon.into(), Payload::AppendReply(reply), outputs);
    }
}
