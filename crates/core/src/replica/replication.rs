//! Replication: entries and snapshots from the leader to the other replicas, and their answers.

use std::time::Duration;

use super::message::{Append, AppendReply, Payload, Snapshot, Voter};
use super::{
    Identity, Instant, Name, Output, Replica, Role, Write, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES,
    SNAPSHOT_BYTES_PER_MS, SNAPSHOT_RESEND_INTERVAL,
};

impl Replica {
    /// Sends an append message or snapshot to every other replica. If `heartbeat` is set, the next
    /// heartbeat is due [`Timing::heartbeat`](super::Timing::heartbeat) from now.
    pub(super) fn broadcast(&mut self, now: Instant, heartbeat: bool, outputs: &mut Vec<Output>) {
        if heartbeat {
            self.next_heartbeat = now + self.timing.heartbeat;
        }
        let replicas: Vec<Name> = self.progress.keys().cloned().collect();
        for replica in replicas {
            self.send_append(&replica, now, outputs);
        }
    }

    /// Sends a replica the entries that it lacks, or the snapshot if it needs compacted entries.
    /// While a snapshot is in flight, the replica gets empty heartbeats that make no claim about
    /// its log, so that its election timeout does not expire.
    pub(super) fn send_append(&mut self, replica: &Name, now: Instant, outputs: &mut Vec<Output>) {
        let leader = self.as_voter();
        let bytes = self.log.snapshot().state_machine.len() as u64;
        let interval =
            SNAPSHOT_RESEND_INTERVAL + Duration::from_millis(bytes / SNAPSHOT_BYTES_PER_MS);
        let Some(progress) = self.progress.get_mut(replica) else { return };
        if progress.next_index <= self.log.snapshot().index {
            let in_flight = progress.snapshot_sent_at.is_some_and(|at| now.since(at) < interval);
            if in_flight {
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
            progress.snapshot_sent_at = Some(now);
            let mut snapshot = self.log.snapshot().clone();
            snapshot.leader_term = self.term;
            snapshot.sent_at = now.as_millis();
            snapshot.leader = Some(leader);
            outputs.push(Output::Send(progress.daemon.clone(), Payload::InstallSnapshot(snapshot)));
            return;
        }
        let previous = progress.next_index - 1;
        let entries = self.log.batch(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
        progress.next_index += entries.len() as u64;
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

    /// Follows the sender as leader of `term`. Returns false if a newer term has begun, or if this
    /// replica itself leads that term.
    fn accept_leader(
        &mut self,
        term: u64,
        leader: &Voter,
        now: Instant,
        random: u64,
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
        self.become_follower(term, Some(identity), now, random, outputs);
        self.last_contact = now;
        self.last_leader_contact = Some(now);
        self.last_answered_term = term;
        true
    }

    /// Stores the entries of a leader if the logs match at the previous index, and answers the
    /// leader.
    pub(super) fn receive_append(
        &mut self,
        now: Instant,
        random: u64,
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
        if !self.accept_leader(append.term, &leader, now, random, outputs) {
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
        let missing = self.log.missing_suffix(append.entries);
        if !missing.is_empty() {
            self.log.truncate(missing[0].index);
            self.log.append(missing.clone());
            self.persist(Write::Entries(missing), outputs);
        }
        self.commit = self.commit.max(append.commit.min(last));
        reply.accepted = true;
        self.reply_before_sync(&to, &reply, outputs);
        reply.index = last;
        self.send_durable(to, Payload::AppendReply(reply), outputs);
        self.apply_committed(outputs);
    }

    /// Answers a leader while entries are not synced yet, so that slow disks do not make its lease
    /// expire. The answer acknowledges no entries. It is sent only once the newest term and vote
    /// are synced, because a replica that lost the term in a restart could vote against the leader
    /// that it has answered.
    fn reply_before_sync(&self, to: &Name, reply: &AppendReply, outputs: &mut Vec<Output>) {
        if self.synced_sequence >= self.last_sequence || self.synced_sequence < self.ballot_sequence
        {
            return;
        }
        let reply = AppendReply { index: 0, ..reply.clone() };
        outputs.push(Output::Send(to.clone(), Payload::AppendReply(reply)));
    }

    /// Updates the progress of a replica, commits what a quorum has acknowledged, and sends what is
    /// missing.
    pub(super) fn receive_append_reply(
        &mut self,
        now: Instant,
        random: u64,
        reply: AppendReply,
        outputs: &mut Vec<Output>,
    ) {
        if reply.term > self.term {
            self.become_follower(reply.term, None, now, random, outputs);
            return;
        }
        if self.role != Role::Leader || reply.term < self.term {
            return;
        }
        let replica: Name = reply.replica.into();
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&replica) else { return };
        progress.acked_send_ms = progress.acked_send_ms.max(reply.sent_at);
        self.last_contact = now;
        if !reply.accepted {
            progress.next_index =
                (reply.index + 1).min(progress.next_index).max(progress.match_index + 1);
            self.send_append(&replica, now, outputs);
            return;
        }
        if reply.index > progress.match_index {
            progress.match_index = reply.index;
            progress.snapshot_sent_at = None;
        }
        progress.next_index = progress.next_index.max(progress.match_index + 1);
        let lags = progress.next_index <= last;
        self.advance_commit(now, outputs);
        if lags {
            self.send_append(&replica, now, outputs);
        }
        self.admit_learners(now, outputs);
    }

    /// Installs a leader's snapshot if it covers entries that are not applied here, and answers the
    /// leader.
    pub(super) fn receive_snapshot(
        &mut self,
        now: Instant,
        random: u64,
        snapshot: Snapshot,
        outputs: &mut Vec<Output>,
    ) {
        let Some(leader) = snapshot.leader.clone() else { return };
        if !self.accept_leader(snapshot.leader_term, &leader, now, random, outputs) {
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
