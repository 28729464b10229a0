//! Fetching of the configuration log by daemons that host no replica of it, and the replies of
//! those that do.

use prost::Message;

use crate::clock::Instant;
use crate::control::command::Command;
use crate::control::StateMachine;
use crate::effect::{Effect, Effects};
use crate::message::{Body, Fetch, FetchReply};
use crate::policy::{FETCH_INTERVAL, STALE_AFTER};
use crate::{journal, Name};

use super::super::{Content, State};
use super::{FETCH_REPLY_ENTRIES, ISOLATED_START_AFTER};

impl State {
    /// Requests new entries of the configuration log from its hosts in this zone, or in any zone if
    /// this zone has none. Until this daemon is ready it asks all linked ones. After that it asks
    /// one, and the next one if no reply has arrived for [`STALE_AFTER`].
    pub(super) fn fetch_entries(&mut self, now: Instant, effects: &mut Effects) {
        if self.fetched.is_none() || now < self.schedule.fetch {
            return;
        }
        self.schedule.fetch = now + FETCH_INTERVAL;
        let Some(log) = self.log_holding(&Content::Configuration) else { return };
        let in_zone = |host: &&Name| self.zone_of(host) == Some(&self.setup.zone);
        let mut candidates: Vec<Name> = log.hosts.iter().filter(in_zone).cloned().collect();
        if candidates.is_empty() {
            candidates = log.hosts.clone();
        }
        candidates.retain(|host| self.is_linked(host, now));
        let Some(fetched) = &mut self.fetched else { return };
        if self.ready && !candidates.is_empty() {
            let silent = fetched.replied_at.is_none_or(|at| now.since(at) > STALE_AFTER);
            fetched.host_index += usize::from(silent);
            candidates = vec![candidates[fetched.host_index % candidates.len()].clone()];
        }
        for host in candidates {
            let fetch = Fetch { log: fetched.log.to_string(), applied: fetched.applied };
            effects.push(Effect::Send { to: host, body: Body::Fetch(fetch) });
        }
    }

    /// Replies to a daemon that fetches a log, with the entries that it lacks or, if they are no
    /// longer kept, with the configuration itself.
    pub(in crate::state) fn send_entries(
        &mut self,
        now: Instant,
        from: &Name,
        fetch: &Fetch,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.logs.get(fetch.log.as_str()) else { return };
        let applied = hosted.replica.applied();
        let mut reply = FetchReply {
            log: fetch.log.clone(),
            applied,
            up_to_date: hosted.replica.is_up_to_date(now),
            ..FetchReply::default()
        };
        match hosted.replica.committed_after(fetch.applied, FETCH_REPLY_ENTRIES) {
            Some(entries) => reply.entries = entries,
            None => {
                let configuration = hosted.state_machine.configuration.clone();
                let machine = StateMachine { configuration, ..StateMachine::default() };
                reply.state_machine = Some(machine.encode());
            }
        }
        effects.push(Effect::Send { to: from.clone(), body: Body::FetchReply(reply) });
    }

    /// Applies fetched entries, and asks for the rest if the sender has more.
    pub(in crate::state) fn apply_fetch_reply(
        &mut self,
        now: Instant,
        from: &Name,
        reply: FetchReply,
        effects: &mut Effects,
    ) {
        let Some(fetched) = &mut self.fetched else { return };
        if *fetched.log != *reply.log {
            return;
        }
        fetched.replied_at = Some(now);
        if let Some(machine) = &reply.state_machine {
            let decoded = StateMachine::decode(machine).ok();
            if let Some(machine) = decoded.filter(|_| reply.applied > fetched.applied) {
                fetched.state_machine = machine;
                fetched.applied = reply.applied;
            }
        }
        for entry in reply.entries {
            if entry.index != fetched.applied + 1 {
                continue;
            }
            fetched.applied = entry.index;
            if entry.command.is_empty() {
                continue;
            }
            if let Ok(command) = Command::decode(entry.command.as_slice()) {
                fetched.state_machine.apply(entry.index, command);
            }
        }
        let behind = fetched.applied < reply.applied;
        if reply.up_to_date && !behind {
            fetched.up_to_date_at = Some(now);
        }
        let (log, applied) = (fetched.log.clone(), fetched.applied);
        if behind {
            let fetch = Fetch { log: log.to_string(), applied };
            effects.push(Effect::Send { to: from.clone(), body: Body::Fetch(fetch) });
        }
        self.update_view(&log, effects);
    }

    /// Whether this daemon's copy of the configuration may lack entries that a leader has
    /// committed. If the daemon fetches the log, the copy counts as stale once it has not caught up
    /// with an up-to-date replica for [`STALE_AFTER`].
    pub(in crate::state) fn is_stale(&self, now: Instant) -> bool {
        if let Some(fetched) = &self.fetched {
            return fetched.up_to_date_at.is_none_or(|at| now.since(at) > STALE_AFTER);
        }
        let hosted = self.logs.values().find(|hosted| hosted.content == Content::Configuration);
        !hosted.is_some_and(|hosted| hosted.replica.is_up_to_date(now))
    }

    /// Starts to accept requests once the configuration is up to date, or [`ISOLATED_START_AFTER`]
    /// after the start if there is any configuration: a daemon that reaches no leader still serves
    /// with the configuration that it has.
    pub(in crate::state) fn update_readiness(&mut self, now: Instant, effects: &mut Effects) {
        if self.ready {
            return;
        }
        let isolated = now.since(self.started) > ISOLATED_START_AFTER && self.view.revision > 0;
        if !self.is_stale(now) || isolated {
            self.ready = true;
            let revision = self.view.revision;
            effects.push(Effect::Log(journal::Event::Ready { revision }));
        }
    }
}
