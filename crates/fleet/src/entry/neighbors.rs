//! Other entry daemons, which this one asks for control daemons once it reaches none.
//!
//! While a daemon stands still or is cut off, all control daemons that it knows may be replaced by others at
//! other addresses. Its settings may name the present ones, or may be as old as what it knows. The entry
//! daemons that were beside it know them: control daemons name a few of them to each, and any control daemon
//! that answers at the address of one that is gone will do as well.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::journal;
use crate::message::{Body, Directory, Status};
use crate::Name;

use super::{Effect, State};

/// Time without any control daemon that is up to date after which another entry daemon is asked.
const ASK_AFTER: Duration = Duration::from_secs(2);
/// Time between two questions.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// The entry daemons that can be asked.
#[derive(Debug, Default)]
pub(super) struct Neighbors {
    /// Their names, as a control daemon has last stated them.
    names: Vec<Name>,
    /// Number of questions so far.
    asked: usize,
    /// When the next question is due; none while a control daemon that is up to date is reached.
    due: Option<Instant>,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// The control daemons that this daemon reaches, as it tells other daemons.
    pub fn directory(&self, now: Instant) -> Directory {
        let live = self.sources.iter().filter(|(_, source)| source.is_live(now));
        Directory { control_daemons: live.map(|(name, _)| name.to_string()).collect() }
    }

    /// Tells a control daemon that has connected of the others, and those that are not up to date of it: all
    /// that one of them knew may have been replaced.
    pub(super) fn introduce(&self, now: Instant, connected: &Name, effects: &mut Vec<Effect>) {
        let directory = self.directory(now);
        if !directory.control_daemons.is_empty() {
            effects.push(Effect::Send(connected.clone(), Body::Directory(directory)));
        }
        for (name, _) in self.sources.iter().filter(|(_, source)| !source.is_up_to_date()) {
            let directory = Directory { control_daemons: vec![connected.to_string()] };
            effects.push(Effect::Send(name.clone(), Body::Directory(directory)));
        }
    }

    /// Records the neighbors that a status of the selected control daemon names, if it names any.
    pub(super) fn record_neighbors(
        &mut self,
        from: &Name,
        status: &Status,
        effects: &mut Vec<Effect>,
    ) {
        let names: Vec<Name> = status.neighbors.iter().map(|name| name.as_str().into()).collect();
        let is_selected = self.selected.as_ref() == Some(from);
        if !is_selected || names.is_empty() || names == self.neighbors.names {
            return;
        }
        let detail = format!("neighbors={}", names.join(","));
        effects.push(Effect::Log(journal::Event::new(113, "neighbors named", &**from, detail)));
        self.neighbors.names = names;
    }

    /// Connects to the control daemons that another daemon reaches.
    pub(super) fn apply_directory(
        &self,
        from: &Name,
        directory: &Directory,
        effects: &mut Vec<Effect>,
    ) {
        let detail = format!("control_daemons={}", directory.control_daemons.join(","));
        effects.push(Effect::Log(journal::Event::new(
            110,
            "control daemons learned",
            &**from,
            detail,
        )));
        for daemon in &directory.control_daemons {
            effects.push(Effect::Dial(daemon.as_str().into()));
        }
    }

    /// Asks one neighbor after the other while no control daemon that is up to date is reached.
    pub(super) fn ask_neighbors(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.sources.values().any(|source| source.is_live(now) && source.is_up_to_date()) {
            self.neighbors.due = None;
            return;
        }
        let due = *self.neighbors.due.get_or_insert(now + ASK_AFTER);
        if now < due || self.neighbors.names.is_empty() {
            return;
        }
        let name = self.neighbors.names[self.neighbors.asked % self.neighbors.names.len()].clone();
        self.neighbors.asked += 1;
        self.neighbors.due = Some(now + ASK_INTERVAL);
        let detail = format!("question={}", self.neighbors.asked);
        effects.push(Effect::Log(journal::Event::new(
            109,
            "no control daemon reached",
            &*name,
            detail,
        )));
        effects.push(Effect::Ask(name));
    }
}
