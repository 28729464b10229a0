//! Threads that write the logs, one for each log, so that a sync never holds up the reactor.

use std::io::Write as _;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use dotterelhoist_core::event::Event;
use dotterelhoist_core::replica::Write;
use dotterelhoist_core::Name;
use dotterelhoist_store::disk::Folder;
use dotterelhoist_store::{Files, Store};

use crate::reactor::Desk;

/// Exit code after an error of the disk.
const EXIT_DISK: i32 = 74;

/// A write with its sequence number.
#[derive(Debug)]
struct Job {
    sequence: u64,
    write: Write,
}

/// Handle of a writing thread.
#[derive(Debug)]
pub(crate) struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread of a log.
    pub(crate) fn spawn(log: Name, files: Files, desk: Desk) -> Writer {
        let (jobs, queue) = channel();
        thread::spawn(move || write_all(&log, files.store, &queue, &desk));
        Writer { jobs }
    }

    pub(crate) fn write(&self, sequence: u64, write: Write) {
        self.jobs.send(Job { sequence, write }).ok();
    }
}

/// Writes whatever has gathered as one batch, syncs it, reports it, and begins again. An error ends
/// the process: what the disk holds is then unknown, and a retry could hide the loss.
fn write_all(log: &Name, mut store: Store<Folder>, queue: &Receiver<Job>, desk: &Desk) {
    while let Ok(first) = queue.recv() {
        let mut sequence = first.sequence;
        let mut writes = vec![first.write];
        while let Ok(next) = queue.try_recv() {
            sequence = next.sequence;
            writes.push(next.write);
        }
        if let Err(error) = store.write(&writes) {
            let mut stderr = std::io::stderr().lock();
            writeln!(stderr, "dotterelhoistd: log {log}: {error}; stopping").ok();
            std::process::exit(EXIT_DISK);
        }
        desk.event(Event::Synced { log: log.clone(), sequence });
    }
}
