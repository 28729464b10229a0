//! Connections to other daemons, called links, and dispatch of the messages received on them.

use crate::clock::Instant;
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::message::{Body, Hello, Ping};
use crate::policy::{LINK_TTL, PING_INTERVAL};
use crate::Name;

use super::members::RemoteEntry;
use super::State;

use std::collections::BTreeMap;
use std::time::Duration;

/// Time since the other daemon was last known to be alive after which a link is closed, so that it
/// is opened again.
const LINK_SILENCE_MAX: Duration = Duration::from_secs(10);

/// An open link.
#[derive(Debug)]
pub(super) struct Link {
    /// First message of the other daemon, with its name, zone and peers.
    pub hello: Hello,
    /// Latest moment at which the other daemon is known to have been alive, on this daemon's clock.
    pub alive_as_of: Instant,
    /// Configuration revision that the other daemon last reported.
    pub revision: u64,
    /// Whether the other daemon accepts requests.
    pub ready: bool,
    /// Whether the other daemon is stopping and still has requests or unrecorded usage lines.
    pub finishing: bool,
    /// Route entries that the other daemon has sent, by the handle that identifies each in later
    /// messages.
    pub entries: BTreeMap<u32, RemoteEntry>,
}

impl Link {
    /// Whether the other daemon was alive within [`LINK_TTL`].
    pub(super) fn is_live(&self, now: Instant) -> bool {
        now.since(self.alive_as_of) < LINK_TTL
    }
}

impl State {
    /// Adds a link that was opened, and sends the other daemon the route entries and suspected
    /// requests.
    pub(super) fn add_link(&mut self, now: Instant, hello: Hello, effects: &mut Effects) {
        let peer: Name = hello.daemon.as_str().into();
        let link = Link {
            hello,
            alive_as_of: now,
            revision: 0,
            ready: false,
            finishing: false,
            entries: BTreeMap::new(),
        };
        self.links.insert(peer.clone(), link);
        effects.push(Effect::Log(journal::Event::LinkUp { peer: peer.clone() }));
        self.publish_all_entries(now, &peer, effects);
        self.send_suspects(&peer, effects);
    }

    pub(super) fn remove_link(&mut self, peer: &Name, effects: &mut Effects) {
        if self.links.remove(peer).is_some() {
            effects.push(Effect::Log(journal::Event::LinkDown { peer: peer.clone() }));
        }
    }

    /// Handles a message that was sent no earlier than `echo` milliseconds on this daemon's clock.
    pub(super) fn receive_message(
        &mut self,
        now: Instant,
        from: &Name,
        echo: u64,
        body: Body,
        random: u64,
        effects: &mut Effects,
    ) {
        let sent_after = Instant::from_millis(echo);
        let Some(link) = self.links.get_mut(from) else { return };
        link.alive_as_of = link.alive_as_of.max(sent_after);
        match body {
            Body::Hello(_) => {}
            Body::Ping(ping) => {
                link.revision = ping.revision;
                link.ready = ping.ready;
                link.finishing = ping.finishing;
            }
            Body::Log(envelope) => self.receive_log_message(now, envelope, random, effects),
            Body::Announcements(list) => {
                for aged in list.announcements {
                    self.record_forwarded_announcement(now, aged, sent_after, effects);
                }
            }
            Body::RouteEntries(entries) => {
                for entry in entries.entries {
                    self.record_entry(now, from, entry, sent_after, effects);
                }
            }
            Body::Refresh(refresh) => self.record_refresh(now, from, &refresh, sent_after),
            Body::Forward(forward) => self.submit_forwarded(now, from, forward, effects),
            Body::Answer(answer) => self.handle_answer(now, from, answer, effects),
            Body::Fetch(fetch) => self.send_entries(now, from, &fetch, effects),
            Body::FetchReply(reply) => self.apply_fetch_reply(now, from, reply, effects),
            Body::Suspect(suspect) => self.record_suspect(&suspect),
            Body::Summary(summary) => {
                let zone: Name = summary.zone.as_str().into();
                let newest_term = self.summaries.get(&zone).map_or(0, |known| known.term);
                if summary.term >= newest_term {
                    self.summaries.insert(zone, summary);
                }
            }
        }
    }

    /// Sends a ping on each link, and closes links that have been silent for too long.
    pub(super) fn tick_links(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.schedule.ping {
            return;
        }
        self.schedule.ping = now + PING_INTERVAL;
        for (peer, link) in &self.links {
            if now.since(link.alive_as_of) > LINK_SILENCE_MAX {
                effects.push(Effect::CloseLink(peer.clone()));
            }
        }
        self.send_pings(effects);
    }

    /// Sends a ping on each link.
    pub(super) fn send_pings(&self, effects: &mut Effects) {
        let ping = Ping {
            revision: self.view.revision,
            ready: self.is_serving(),
            finishing: self.stopping && !self.is_finished(),
        };
        for peer in self.links.keys() {
            let body = Body::Ping(ping.clone());
            effects.push(Effect::Send { to: peer.clone(), body });
        }
    }

    /// Whether a link to the daemon is open and the daemon was alive within [`LINK_TTL`].
    pub(super) fn is_linked(&self, peer: &str, now: Instant) -> bool {
        self.links.get(peer).is_some_and(|link| link.is_live(now))
    }
}
