//! Changes of the voter list: learners become voters, and replicas whose disk is lost or that do
//! not answer are removed.

use super::message::{Entry, Payload, Voter};
use super::progress::Progress;
use super::{quorum, Instant, Name, Output, Replica, Role, REPLACE_AFTER};

impl Replica {
    /// Starts to replicate to a daemon that asks for it, as a learner. Daemons of voters and those
    /// of [`Replica::add_host`] may join, others only after [`Replica::set_max_voters`].
    pub(super) fn receive_join(&mut self, now: Instant, voter: Voter, outputs: &mut Vec<Output>) {
        if !self.leads(now) {
            self.forward_join(now, voter, outputs);
            return;
        }
        let is_known = self.hosts.contains(voter.daemon.as_str())
            || self.log.voters().iter().any(|known| known.daemon == voter.daemon);
        let replica: Name = voter.replica.as_str().into();
        let may_join = is_known || self.max_voters.is_some();
        if self.progress.contains_key(&replica) || !may_join {
            return;
        }
        let mut progress = Progress::new(voter.daemon.into(), self.log.last_index() + 1);
        progress.learner = true;
        progress.weight = voter.weight;
        self.progress.insert(replica.clone(), progress);
        self.send_append(&replica, now, outputs);
    }

    /// Passes a request to join on to the leader, which a replica that was removed may not know.
    fn forward_join(&self, now: Instant, voter: Voter, outputs: &mut Vec<Output>) {
        let heard = self.last_leader_contact.is_some_and(|at| now.since(at) < self.timing.election);
        let leader = self.leader.as_ref().filter(|_| heard && self.role == Role::Follower);
        let Some(leader) = leader.filter(|leader| *leader.daemon != *voter.daemon) else { return };
        outputs.push(Output::Send(leader.daemon.clone(), Payload::Join(voter)));
    }

    /// Turns a learner that has caught up into a voter, with one change of the voter list at a
    /// time; the next change waits until the last one is committed. If its daemon's old identity is
    /// in the list, or the list is full and a voter does not answer, that voter is removed first.
    /// Quorums of successive lists thus always intersect.
    pub(super) fn admit_learners(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let may_change_voters =
            self.log.term(self.commit) == Some(self.term) && self.log.voters_index() <= self.commit;
        if !may_change_voters || !self.leads(now) {
            return;
        }
        let commit = self.commit;
        let caught_up = self.progress.iter().find(|(_, p)| p.learner && p.match_index >= commit);
        let Some((replica, progress)) = caught_up else { return };
        let (replica, daemon, weight) = (replica.clone(), progress.daemon.clone(), progress.weight);
        let old = self.log.voters().to_vec();
        let mut new = old.clone();
        match new.iter().position(|voter| *voter.daemon == *daemon) {
            Some(position) => {
                let removed: Name = new.remove(position).replica.into();
                self.progress.remove(&removed);
            }
            None if self.voter_list_is_full() => {
                let Some(position) = self.unresponsive_voter(now) else { return };
                let removed: Name = new.remove(position).replica.into();
                self.progress.remove(&removed);
            }
            None => {
                new.push(Voter {
                    replica: replica.to_string(),
                    daemon: daemon.to_string(),
                    weight,
                });
                if let Some(progress) = self.progress.get_mut(&replica) {
                    progress.learner = false;
                }
            }
        }
        if quorum::intersect(&old, &new) {
            self.append(now, Entry::voters(new), outputs);
        }
    }

    /// Whether the list has as many voters as [`Replica::set_max_voters`] allows.
    fn voter_list_is_full(&self) -> bool {
        self.max_voters.is_some_and(|limit| self.log.voters().len() >= limit)
    }

    /// Position in the voter list of the first voter that has not answered for [`REPLACE_AFTER`].
    /// The time counts from this replica's election at the earliest.
    fn unresponsive_voter(&self, now: Instant) -> Option<usize> {
        let own = &self.identity.replica;
        self.log.voters().iter().position(|voter| {
            let acked_send_ms = self.progress.get(&*voter.replica).map_or(0, |p| p.acked_send_ms);
            let acked = Instant::from_millis(acked_send_ms);
            *voter.replica != **own && now.since(acked.max(self.leader_since)) > REPLACE_AFTER
        })
    }
}
