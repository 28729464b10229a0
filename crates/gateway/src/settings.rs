//! The settings file of a running daemon. It may be replaced at any time, with a signal or without.
//!
//! The control daemons to connect to take effect at once. All other fields are read at the start only; those that have changed are named
//! in the log. A file that is missing, incomplete or invalid changes nothing.

use std::path::PathBuf;
use std::time::Duration;

use dotterelhoist_fleet::journal::Event;
use dotterelhoist_fleet::Name;
use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender};
use smol::Timer;

use crate::journal;

/// Time between two looks at the file.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Settings that a file holds.
pub trait Settings: Sized + 'static {
    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// Returns what is missing or invalid.
    fn read(text: &str) -> Result<Self, String>;

    /// Control daemons to connect to.
    fn seeds(&self) -> &[Name];

    /// Names of the fields other than the seeds that differ in `newer`.
    fn changed_fields(&self, newer: &Self) -> Vec<&'static str>;
}

/// The settings file of a running daemon.
#[derive(Debug)]
pub struct Watch<File> {
    path: PathBuf,
    /// The settings that were read at the start.
    first: File,
    /// Control daemons that were read last.
    seeds: Vec<Name>,
    /// The text, or why it could not be read, when it was last looked at.
    last: Result<String, String>,
}

impl<File> Watch<File>
where
    File: Settings,
{
    /// Watches the file that held this text with these settings at the start.
    pub fn open(path: PathBuf, text: String, first: File) -> Watch<File> {
        let seeds = first.seeds().to_vec();
        Watch { path, first, seeds, last: Ok(text) }
    }

    /// Looks at the file at regular intervals and for each item of `reloads`, and sends the seeds whenever they
    /// have changed.
    pub async fn run(mut self, reloads: Receiver<()>, seeds: Sender<Vec<Name>>) {
        loop {
            let waited = async {
                Timer::after(POLL_INTERVAL).await;
                false
            };
            let requested = async {
                match reloads.recv().await {
                    Ok(()) => true,
                    Err(_) => smol::future::pending().await,
                }
            };
            let requested = requested.or(waited).await;
            let text = std::fs::read_to_string(&self.path).map_err(|error| error.to_string());
            if requested || text != self.last {
                if let Some(changed) = self.read(text) {
                    seeds.try_send(changed).ok();
                }
            }
        }
    }

    /// Reads what the file holds now, and logs what that changes. Returns the seeds if they have changed.
    fn read(&mut self, text: Result<String, String>) -> Option<Vec<Name>> {
        self.last = text.clone();
        let parsed = text.and_then(|text| File::read(&text));
        let read = match parsed {
            Ok(read) => read,
            Err(detail) => {
                journal::write(&Event::new(112, "settings not used", "process", detail));
                return None;
            }
        };
        let seeds = read.seeds().to_vec();
        let seeds_changed = seeds != self.seeds;
        let detail = format!(
            "seeds={} seeds_changed={seeds_changed} after_restart={}",
            seeds.join(","),
            self.first.changed_fields(&read).join(",")
        );
        journal::write(&Event::new(108, "settings read again", "process", detail));
        self.seeds.clone_from(&seeds);
        seeds_changed.then_some(seeds)
    }
}
