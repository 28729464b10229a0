//! Transfer of the document from the control daemons.
//!
//! Each control daemon states the version of its document in its status. An entry daemon with an
//! older one asks one of them for the difference, and asks another one only if the answer does not
//! arrive. It thus never receives two documents at the same time, and always the newest.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::journal;
use crate::message::{Body, Fetch};
use crate::patch::Patch;
use crate::Name;

use super::{Effect, Source, State};

/// Time for the answer to a request for the document; after that, another control daemon is asked.
const FETCH_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// The timeout doubles with each unanswered request, up to this time, because the network may be
/// too slow for the document.
const FETCH_TIMEOUT_MAX: Duration = Duration::from_secs(8);

/// Part of [`Setup::apply_timeout`](super::Setup::apply_timeout), counted from when a control daemon
/// applied a newer document, for which the older one is used. The rest covers the time until this
/// daemon has learned of it.
const OUTDATED_AFTER_FACTOR: f64 = 0.8;

/// A request for the document that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    /// Control daemon that was asked.
    source: Name,
    /// When it was asked.
    since: Instant,
    /// Time for the answer.
    timeout: Duration,
    /// Whether an answer has arrived that could not be used.
    failed: bool,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Asks a control daemon for its document if it is newer than this daemon's, unless a request is
    /// in flight.
    pub(super) fn fetch_document(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(source) = self.document_source() else {
            self.transfer = None;
            return;
        };
        let waits = |transfer: &Transfer| {
            now.since(transfer.since) < transfer.timeout
                && self.sources.contains_key(&transfer.source)
        };
        if self.transfer.as_ref().is_some_and(waits) {
            return;
        }
        let before = self.transfer.take();
        let doubled = |before: &Transfer| (before.timeout * 2).min(FETCH_TIMEOUT_MAX);
        let timeout = before.as_ref().map_or(FETCH_TIMEOUT_MIN, doubled);
        let failed = before.is_some_and(|before| before.failed);
        let version = if failed { 0 } else { self.version() };
        effects.push(Effect::Send(source.clone(), Body::Fetch(Fetch { version })));
        self.transfer = Some(Transfer { source, since: now, timeout, failed: false });
    }

    /// Confirms the document if a control daemon that was up to date stated no newer one.
    pub(super) fn confirm_document(&mut self, effects: &mut Vec<Effect>) {
        let version = self.version();
        if self.confirmed || version == 0 {
            return;
        }
        let confirms = |source: &&Source| {
            let up_to_date = source.status.as_ref().is_some_and(|status| status.up_to_date);
            up_to_date && source.version() <= version
        };
        if self.sources.values().any(|source| confirms(&source)) {
            self.confirmed = true;
            let detail = format!("version={version}");
            let event = journal::Event::new(102, "ready", &*self.setup.daemon, detail);
            effects.push(Effect::Log(event));
        }
    }

    /// Whether a control daemon has had a newer document for so long that this daemon's must no
    /// longer be used.
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        let limit = self.setup.apply_timeout.mul_f64(OUTDATED_AFTER_FACTOR);
        self.behind_since.is_some_and(|since| now.since(since) > limit)
    }

    /// Recomputes since when this daemon has lagged behind a control daemon. A document that is
    /// superseded before it has arrived does not make this time start anew.
    pub(super) fn update_lag(&mut self) {
        let version = self.version();
        let newer = self.sources.values().filter(|source| source.version() > version);
        let oldest = newer.map(|source| source.applied_at).min();
        self.behind_since = oldest.map(|oldest| match self.behind_since {
            Some(since) => since.min(oldest),
            None => oldest,
        });
    }

    /// The control daemon to ask for the document: one with a newer document than this daemon's,
    /// preferably not the one that was asked last, then the one that is selected, then one in the
    /// same subnet. None if there is no newer document.
    fn document_source(&self) -> Option<Name> {
        let version = self.version();
        let asked = self.transfer.as_ref().map(|transfer| &transfer.source);
        let newer = self.sources.iter().filter(|(_, source)| source.version() > version);
        let best = newer.max_by_key(|(name, source)| {
            let selected = self.selected.as_ref() == Some(*name);
            let near = self.is_in_same_subnet(name);
            (asked != Some(*name), selected, near, source.version())
        });
        best.map(|(name, _)| name.clone())
    }

    /// Puts the received document into force if its version is higher than that of the current one,
    /// and asks for the next if there is a newer one by now. One that can't be read is only logged;
    /// it is asked for again, complete, once the timeout is over.
    pub(super) fn apply_document(
        &mut self,
        now: Instant,
        patch: &Patch,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.version();
        if patch.version <= before {
            return;
        }
        let original = patch.apply(&self.original).map_err(|error| error.to_string());
        let read = original.and_then(|original| {
            let document = self.reader.read(&original.body);
            let first_finding = |findings: Vec<crate::document::Finding>| {
                findings.first().map(ToString::to_string).unwrap_or_default()
            };
            Ok((document.map_err(first_finding)?, original))
        });
        let (document, original) = match read {
            Ok(read) => read,
            Err(detail) => {
                let event = journal::Event::new(103, "document invalid", "control", detail);
                effects.push(Effect::Log(event));
                if let Some(transfer) = &mut self.transfer {
                    transfer.failed = true;
                }
                return;
            }
        };
        let detail = format!("version={} before={before} base={}", document.version, patch.base);
        let event = journal::Event::new(101, "document in force", &*self.setup.daemon, detail);
        effects.push(Effect::Log(event));
        self.document = Some(Arc::new(document));
        self.original = original;
        self.confirm_document(effects);
        self.transfer = None;
        self.behind_since = None;
        self.update_lag();
        self.fetch_document(now, effects);
    }
}
