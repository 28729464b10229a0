//! Links to other daemons.

use crate::clock::Instant;
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::message::{Body, Hello, Ping};
use crate::policy::{LINK_TTL, PING_INTERVAL};
use crate::Name;

use super::members::Source;
use super::State;

use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a link is closed and built anew.
const UNLINK_AFTER: Duration = Duration::from_secs(10);

/// A link that is up.
#[derive(Debug)]
pub(super) struct Link {
    /// What the other daemon said of itself.
    pub hello: Hello,
    /// Moment after which it certainly was alive.
    pub alive: Instant,
    /// Revision that it has in force.
    pub revision: u64,
    /// Whether it answers callers.
    pub ready: bool,
    /// What its handles stand for.
    pub sources: BTreeMap<u32, Source>,
}

impl Link {
    pub(super) fn is_live(&self, now: Instant) -> bool {
        now.since(self.alive) < LINK_TTL
    }
}

impl State {
    pub(super) fn link_up(&mut self, now: Instant, hello: Hello, effects: &mut Effects) {
        let peer: Name = hello.daemon.as_str().into();
        let link = Link { hello, alive: now, revision: 0, ready: false, sources: BTreeMap::new() };
        self.links.insert(peer.clone(), link);
        effects.push(Effect::Log(journal::Event::LinkUp { peer: peer.clone() }));
        self.publish_all(now, &peer, effects);
        self.send_suspects(&peer, effects);
    }

    pub(super) fn link_down(&mut self, peer: &Name, effects: &mut Effects) {
        if self.links.remove(peer).is_some() {
            effects.push(Effect::Log(journal::Event::LinkDown { peer: peer.clone() }));
        }
    }

    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: &Name,
        echo: u64,
        body: Body,
        draw: u64,
        effects: &mut Effects,
    ) {
        let sent_after = Instant::from_millis(echo);
        let Some(link) = self.links.get_mut(from) else { return };
        link.alive = link.alive.max(sent_after);
        match body {
            Body::Hello(_) => {}
            Body::Ping(ping) => {
                link.revision = ping.revision;
                link.ready = ping.ready;
            }
            Body::Log(envelope) => self.receive_log(now, envelope, draw, effects),
            Body::Announcements(list) => {
                for heard in list.announcements {
                    self.heard_announcement(now, heard, sent_after, effects);
                }
            }
            Body::RouteEntries(entries) => {
                for entry in entries.entries {
                    self.heard_entry(now, from, entry, sent_after, effects);
                }
            }
            Body::Refresh(beat) => self.heard_beat(now, from, &beat, sent_after),
            Body::Forward(forward) => self.forwarded(now, from, forward, effects),
            Body::Answer(answer) => self.answered(now, answer, effects),
            Body::Fetch(follow) => self.asked_to_feed(now, from, &follow, effects),
            Body::FetchReply(feed) => self.fed(now, from, feed, effects),
            Body::Suspect(suspect) => self.heard_suspect(&suspect),
            Body::Summary(summary) => {
                let zone: Name = summary.zone.as_str().into();
                let known = self.summaries.get(&zone).map_or(0, |known| known.term);
                if summary.term >= known {
                    self.summaries.insert(zone, summary);
                }
            }
        }
    }

    pub(super) fn tick_links(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.due.ping {
            return;
        }
        self.due.ping = now + PING_INTERVAL;
        let ping = Ping { revision: self.view.revision, ready: self.is_serving() };
        for (peer, link) in &self.links {
            if now.since(link.alive) > UNLINK_AFTER {
                effects.push(Effect::Unlink(peer.clone()));
            }
            let body = Body::Ping(ping.clone());
            effects.push(Effect::Send { to: peer.clone(), body });
        }
    }

    pub(super) fn is_linked(&self, peer: &str, now: Instant) -> bool {
        self.links.get(peer).is_some_and(|link| link.is_live(now))
    }
}
