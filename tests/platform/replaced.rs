//! Entry daemons that stand still while all control daemons are replaced by others.

use std::process::Child;

use rstest::rstest;
use rustix::process::Signal;

use super::daemon::{self, unique_ips, Build, Settings};
use super::seeds::{ControlPlane, ADDED, FIRST};

/// What happens to the settings of the daemon that has stood still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// They name the present control daemons, and the daemon is told so.
    Signalled,
    /// They name the present control daemons.
    Unsignalled,
    /// They still name the ones that are gone; another entry daemon knows the present ones.
    None,
}

/// Entry daemons beside a control plane; dropping them kills them.
struct Entries {
    ips: Vec<String>,
    daemons: Vec<Option<Child>>,
}

impl Entries {
    fn start(plane: &ControlPlane, builds: &[Build]) -> Entries {
        let ips = unique_ips(builds.len() as u64);
        let seeds = plane.seeds(&FIRST);
        let spawn = |(ip, build): (&String, &Build)| {
            let settings = Settings { ip, control: false, seeds: &seeds, bootstrap: true };
            Some(daemon::spawn(*build, plane.folder(), &settings))
        };
        let daemons = ips.iter().zip(builds).map(spawn).collect();
        Entries { ips, daemons }
    }

    fn signal(&self, index: usize, signal: Signal) {
        daemon::signal(self.daemons[index].as_ref().expect("the daemon runs"), signal);
    }

    /// Whether the daemon has logged this.
    fn has_logged(&self, plane: &ControlPlane, index: usize, text: &str) -> bool {
        daemon::read_log(plane.folder(), &self.ips[index]).contains(text)
    }

    /// Waits until the daemon uses the document that was acknowledged last.
    fn await_document(&self, plane: &ControlPlane, index: usize) {
        let text = format!(r#""detail":"version={} "#, plane.acknowledged());
        let used = plane.poll(|plane| self.has_logged(plane, index, &text));
        assert!(used, "entry daemon {index} does not use version {}", plane.acknowledged());
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon::kill(daemon);
        }
    }
}

/// Guards against CONFIG: an entry daemon that knew no present control daemon kept the old configuration for good.
#[rstest]
#[case::signalled(Change::Signalled, &[Build::Present])]
#[case::unsignalled(Change::Unsignalled, &[Build::Present])]
#[case::settings_unchanged(Change::None, &[Build::Present, Build::Present])]
fn entry_that_stood_still_while_control_daemons_were_replaced_gets_the_configuration(
    #[case] change: Change,
    #[case] builds: &[Build],
) {
    let mut plane = ControlPlane::start_first(Build::Present);
    let entries = Entries::start(&plane, builds);
    for index in 0..builds.len() {
        entries.await_document(&plane, index);
    }
    if let Some(neighbor) = entries.ips.get(1) {
        let text = format!(r#"neighbors={neighbor}"#);
        assert!(plane.poll(|plane| entries.has_logged(plane, 0, &text)), "no neighbor is known");
    }
    entries.signal(0, Signal::STOP);
    plane.await_disconnected(&entries.ips[0]);
    plane.add(Build::Present);
    plane.remove_first();
    entries.signal(0, Signal::CONT);
    if change != Change::None {
        let seeds = plane.seeds(&ADDED);
        let ip = &entries.ips[0];
        let settings = Settings { ip, control: false, seeds: &seeds, bootstrap: false };
        daemon::write_settings(plane.folder(), &settings);
    }
    if change == Change::Signalled {
        entries.signal(0, Signal::HUP);
    }
    plane.check();
    entries.await_document(&plane, 0);
}
