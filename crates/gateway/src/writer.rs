//! The thread that writes the control log, so that a sync never holds up the daemon.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use dotterelhoist_core::replica::Write;
use dotterelhoist_store::disk::Folder;
use dotterelhoist_store::Store;

/// Pause before a write that failed is tried again.
const PAUSE: Duration = Duration::from_millis(250);

/// A write with its sequence number.
#[derive(Debug)]
struct Job {
    sequence: u64,
    write: Write,
}

/// Handle of the writing thread.
#[derive(Debug)]
pub(crate) struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread. Each sequence number that is on stable storage goes to `synced`.
    pub(crate) fn spawn(store: Store<Folder>, synced: smol::channel::Sender<u64>) -> Writer {
        let (jobs, queue) = channel();
        thread::spawn(move || write_all(store, &queue, &synced));
        Writer { jobs }
    }

    pub(crate) fn write(&self, sequence: u64, write: Write) {
        if self.jobs.send(Job { sequence, write }).is_err() {
            log::error!(r#"{{"code":311,"event":"log writer has ended","subject":"disk"}}"#);
        }
    }
}

/// Writes whatever has gathered as one batch, syncs it, reports it, and begins again. A batch that
/// fails is written again behind a fresh copy of what was synced before, for as long as it takes.
fn write_all(mut store: Store<Folder>, queue: &Receiver<Job>, synced: &smol::channel::Sender<u64>) {
    while let Ok(first) = queue.recv() {
        let mut sequence = first.sequence;
        let mut writes = vec![first.write];
        while let Ok(next) = queue.try_recv() {
            sequence = next.sequence;
            writes.push(next.write);
        }
        while let Err(error) = store.write(&writes) {
            log::error!(r#"{{"code":312,"event":"disk error","subject":"{error}"}}"#);
            thread::sleep(PAUSE);
            while let Err(error) = store.recover() {
                log::error!(r#"{{"code":312,"event":"disk error","subject":"{error}"}}"#);
                thread::sleep(PAUSE);
            }
        }
        if synced.try_send(sequence).is_err() {
            return;
        }
    }
}
