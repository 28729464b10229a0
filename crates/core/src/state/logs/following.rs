//! The configuration log, followed from afar.

use prost::Message;

use crate::clock::Instant;
use crate::control::command::Command;
use crate::control::Machine;
use crate::effect::{Effect, Effects};
use crate::message::{Body, Fetch, FetchReply};
use crate::policy::{FETCH_INTERVAL, STALE_AFTER};
use crate::{journal, Name};

use super::super::{Duty, State};
use super::{FEED_ENTRIES, ISOLATED_START};

impl State {
    pub(super) fn ask_for_feed(&mut self, now: Instant, effects: &mut Effects) {
        if self.followed.is_none() || now < self.due.follow {
            return;
        }
        self.due.follow = now + FETCH_INTERVAL;
        let Some(log) = self.log_with(&Duty::Configuration) else { return };
        let hosts: Vec<Name> = log.founders.iter().map(|v| v.daemon.as_str().into()).collect();
        let own = |host: &&Name| self.zone_of(host) == Some(&self.setup.zone);
        let mut near: Vec<Name> = hosts.iter().filter(own).cloned().collect();
        if near.is_empty() {
            near = hosts;
        }
        near.retain(|host| self.is_linked(host, now));
        let Some(followed) = &mut self.followed else { return };
        if self.ready && !near.is_empty() {
            let silent = followed.fed.is_none_or(|fed| now.since(fed) > STALE_AFTER);
            followed.turn += usize::from(silent);
            near = vec![near[followed.turn % near.len()].clone()];
        }
        for host in near {
            let follow = Fetch { log: followed.log.to_string(), applied: followed.applied };
            effects.push(Effect::Send { to: host, body: Body::Fetch(follow) });
        }
    }

    pub(in crate::state) fn asked_to_feed(
        &mut self,
        now: Instant,
        from: &Name,
        follow: &Fetch,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.logs.get(follow.log.as_str()) else { return };
        let applied = hosted.replica.applied();
        let mut feed = FetchReply {
            log: follow.log.clone(),
            applied,
            up_to_date: hosted.replica.fresh(now),
            ..FetchReply::default()
        };
        match hosted.replica.committed_after(follow.applied, FEED_ENTRIES) {
            Some(entries) => feed.entries = entries,
            None => {
                let configuration = hosted.machine.configuration.clone();
                let machine = Machine { configuration, ..Machine::default() };
                feed.state_machine = Some(machine.encode());
            }
        }
        effects.push(Effect::Send { to: from.clone(), body: Body::FetchReply(feed) });
    }

    pub(in crate::state) fn fed(
        &mut self,
        now: Instant,
        from: &Name,
        feed: FetchReply,
        effects: &mut Effects,
    ) {
        let Some(followed) = &mut self.followed else { return };
        if *followed.log != *feed.log {
            return;
        }
        followed.fed = Some(now);
        if let Some(machine) = &feed.state_machine {
            let decoded = Machine::decode(machine).ok();
            if let Some(machine) = decoded.filter(|_| feed.applied > followed.applied) {
                followed.machine = machine;
                followed.applied = feed.applied;
            }
        }
        for entry in feed.entries {
            if entry.index != followed.applied + 1 {
                continue;
            }
            followed.applied = entry.index;
            if entry.command.is_empty() {
                continue;
            }
            if let Ok(command) = Command::decode(entry.command.as_slice()) {
                followed.machine.apply(entry.index, command);
            }
        }
        let behind = followed.applied < feed.applied;
        if feed.up_to_date && !behind {
            followed.fresh = Some(now);
        }
        let (log, applied) = (followed.log.clone(), followed.applied);
        if behind {
            let follow = Fetch { log: log.to_string(), applied };
            effects.push(Effect::Send { to: from.clone(), body: Body::Fetch(follow) });
        }
        self.refresh_view(&log, effects);
    }

    /// Whether the configuration log has been out of touch with its leader.
    pub(in crate::state) fn is_stale(&self, now: Instant) -> bool {
        if let Some(followed) = &self.followed {
            return followed.fresh.is_none_or(|fresh| now.since(fresh) > STALE_AFTER);
        }
        let hosted = self.logs.values().find(|hosted| hosted.duty == Duty::Configuration);
        !hosted.is_some_and(|hosted| hosted.replica.fresh(now))
    }

    pub(in crate::state) fn update_readiness(&mut self, now: Instant, effects: &mut Effects) {
        if self.ready {
            return;
        }
        let isolated = now.since(self.started) > ISOLATED_START && self.view.revision > 0;
        if !self.is_stale(now) || isolated {
            self.ready = true;
            let revision = self.view.revision;
            effects.push(Effect::Log(journal::Event::Ready { revision }));
        }
    }
}
