//! The other control daemons that a control daemon knows, and how they come to know each other.
//!
//! It connects to those that its settings name, to the voters of the log, to each that connects to it, and to
//! each that another daemon names. Any two of them thus connect as soon as a third one reaches both.

use crate::message::{Body, Directory};
use crate::Name;

use super::{Effect, Reader, State};

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Names the control daemons that this one reaches to one that it has just reached, and that one to them. Each
    /// must connect to all others, voter or not: a heartbeat of an endpoint is forwarded by one daemon only.
    pub(super) fn introduce(&mut self, reached: &Name, effects: &mut Vec<Effect>) {
        let directory = |names: &[Name]| {
            let control_daemons = names.iter().map(ToString::to_string).collect();
            Body::Directory(Directory { control_daemons })
        };
        self.reached.remove(reached);
        let others: Vec<Name> = self.reached.iter().cloned().collect();
        for other in &others {
            effects.push(Effect::Send(other.clone(), directory(std::slice::from_ref(reached))));
        }
        if !others.is_empty() {
            effects.push(Effect::Send(reached.clone(), directory(&others)));
        }
        self.reached.insert(reached.clone());
    }

    /// Connects to the control daemons that another daemon names.
    pub(super) fn apply_directory(&mut self, directory: &Directory, effects: &mut Vec<Effect>) {
        let names = directory.control_daemons.iter();
        let names: Vec<Name> = names.map(|name| name.as_str().into()).collect();
        self.add_control_daemons(&names, effects);
    }

    /// Adds control daemons that the settings or another daemon name.
    pub(super) fn add_control_daemons(&mut self, daemons: &[Name], effects: &mut Vec<Effect>) {
        for daemon in daemons {
            self.add_control_daemon(daemon, effects);
        }
    }

    /// Adds a control daemon, which may host a replica, and connects to it, unless it is this daemon
    /// or already known.
    pub(super) fn add_control_daemon(&mut self, daemon: &Name, effects: &mut Vec<Effect>) {
        if *daemon == self.setup.daemon || !self.control_daemons.insert(daemon.clone()) {
            return;
        }
        self.replica.add_contact(daemon.clone());
        effects.push(Effect::Dial(daemon.clone()));
    }
}
