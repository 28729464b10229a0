//! The thread that writes the control log, so that the daemon's own thread never waits for the
//! disk.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use dotterelhoist_core::replica::Write;
use dotterelhoist_store::disk::Folder;
use dotterelhoist_store::Store;

/// Delay before a failed write or recovery is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A write to the log with its sequence number.
#[derive(Debug)]
struct Job {
    sequence: u64,
    write: Write,
}

/// Handle of the writer thread, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread. After each batch that has been synced to disk, it sends the sequence
    /// number of the batch's last write to `synced`.
    pub(crate) fn spawn(store: Store<Folder>, synced: smol::channel::Sender<u64>) -> Writer {
        let (jobs, queue) = channel();
        thread::spawn(move || write_batches(store, &queue, &synced));
        Writer { jobs }
    }

    /// Queues a write. If the thread has ended, the write is dropped and an error logged.
    pub(crate) fn write(&self, sequence: u64, write: Write) {
        if self.jobs.send(Job { sequence, write }).is_err() {
            log::error!(r#"{{"code":311,"event":"log writer has ended","subject":"disk"}}"#);
        }
    }
}

/// Repeatedly writes all queued writes as one batch, syncs it and sends its last sequence number to
/// `synced`. If a batch fails, the store is recovered, which writes a new copy of what was synced
/// before, and the batch is written again; both are retried until they succeed.
fn write_batches(
    mut store: Store<Folder>,
    queue: &Receiver<Job>,
    synced: &smol::channel::Sender<u64>,
) {
    while let Ok(first) = queue.recv() {
        let mut sequence = first.sequence;
        let mut writes = vec![first.write];
        while let Ok(next) = queue.try_recv() {
            sequence = next.sequence;
            writes.push(next.write);
        }
        while let Err(error) = store.write(&writes) {
            log::error!(r#"{{"code":312,"event":"disk error","subject":"{error}"}}"#);
            thread::sleep(RETRY_DELAY);
            while let Err(error) = store.recover() {
                log::error!(r#"{{"code":312,"event":"disk error","subject":"{error}"}}"#);
                thread::sleep(RETRY_DELAY);
            }
        }
        if synced.try_send(sequence).is_err() {
            return;
        }
    }
}
