//! Changes of the voter list: learners that enter, lost disks and silent voters that leave.

use super::message::{Entry, Voter};
use super::progress::Progress;
use super::{quorum, Instant, Name, Output, Replica, REPLACE_AFTER};

impl Replica {
    /// Starts to feed a daemon that returned with an empty disk.
    pub(super) fn receive_join(&mut self, now: Instant, voter: Voter, outputs: &mut Vec<Output>) {
        if !self.leads(now) {
            return;
        }
        let hosts = self.founders.iter().chain(self.log.voters());
        let listed = hosts.into_iter().any(|host| host.daemon == voter.daemon);
        let replica: Name = voter.replica.as_str().into();
        let welcome = listed || self.capacity.is_some();
        if self.progress.contains_key(&replica) || !welcome {
            return;
        }
        let mut progress = Progress::new(voter.daemon.into(), self.log.last_index() + 1);
        progress.learner = true;
        progress.weight = voter.weight;
        self.progress.insert(replica.clone(), progress);
        self.send_append(&replica, now, outputs);
    }

    /// Exchanges lost disks for learners that have caught up, one change at a time: first the old
    /// identity leaves, then the new one enters, so that any two successive quorums meet.
    pub(super) fn admit_learners(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let settled =
            self.log.term(self.commit) == Some(self.term) && self.log.voters_index() <= self.commit;
        if !settled || !self.leads(now) {
            return;
        }
        let commit = self.commit;
        let ready = self.progress.iter().find(|(_, p)| p.learner && p.matched >= commit);
        let Some((replica, progress)) = ready else { return };
        let (replica, daemon, weight) = (replica.clone(), progress.daemon.clone(), progress.weight);
        let old = self.log.voters().to_vec();
        let mut new = old.clone();
        match new.iter().position(|voter| *voter.daemon == *daemon) {
            Some(position) => {
                let lost: Name = new.remove(position).replica.into();
                self.progress.remove(&lost);
            }
            None if self.is_full() => {
                let Some(position) = self.silent_voter(now) else { return };
                let lost: Name = new.remove(position).replica.into();
                self.progress.remove(&lost);
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

    fn is_full(&self) -> bool {
        self.capacity.is_some_and(|capacity| self.log.voters().len() >= capacity)
    }

    /// Position of a voter that has not answered for [`REPLACE_AFTER`].
    fn silent_voter(&self, now: Instant) -> Option<usize> {
        let own = &self.identity.replica;
        self.log.voters().iter().position(|voter| {
            let answered = self.progress.get(&*voter.replica).map_or(0, |p| p.answered_at);
            let answered = Instant::from_millis(answered);
            *voter.replica != **own && now.since(answered.max(self.led_since)) > REPLACE_AFTER
        })
    }
}
