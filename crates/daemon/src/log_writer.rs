//! Threads that write the replicated logs to disk, one for each log, so that syncing a file never
//! blocks the reactor.

use std::io::Write as _;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use dotterelhoist_core::event::Event;
use dotterelhoist_core::replica::Write;
use dotterelhoist_core::Name;
use dotterelhoist_store::disk::Folder;
use dotterelhoist_store::{Files, Store};

use crate::reactor::Handle;

/// Exit code after a disk error, as `EX_IOERR` of `sysexits.h`.
const EXIT_IO_ERROR: i32 = 74;

/// A queued write with its sequence number.
#[derive(Debug)]
struct Job {
    sequence: u64,
    write: Write,
}

/// Handle of the thread that writes a log.
#[derive(Debug)]
pub(crate) struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread of a log.
    pub(crate) fn spawn(log: Name, files: Files, reactor: Handle) -> Writer {
        let (jobs, queue) = channel();
        thread::spawn(move || write_batches(&log, files.store, &queue, &reactor));
        Writer { jobs }
    }

    /// Queues a write. Once it is on disk, [`Event::Synced`] reports its sequence number or that of
    /// a later write.
    pub(crate) fn write(&self, sequence: u64, write: Write) {
        self.jobs.send(Job { sequence, write }).ok();
    }
}

/// Repeatedly takes all queued writes, writes and syncs them as one batch, and reports the last
/// sequence number of the batch. An error ends the process: the content of the disk is then
/// unknown, and a retry could succeed although data was lost.
fn write_batches(log: &Name, mut store: Store<Folder>, queue: &Receiver<Job>, reactor: &Handle) {
    while let Ok(first) = queue.recv() {
        let mut sequence = first.sequence;
        let mut writes = vec![first.write];
        while let Ok(next) = queue.try_recv() {
            sequence = next.sequence;
            writes.push(next.write);
        }
        if let Err(error) = store.write(&writes) {
            let mut stderr = std::io::stderr().lock();
            writeln!(stderr, "dotterelhoistd: can't write log {log}: {error}; exiting").ok();
            std::process::exit(EXIT_IO_ERROR);
        }
        reactor.send_event(Event::Synced { log: log.clone(), sequence });
    }
}
