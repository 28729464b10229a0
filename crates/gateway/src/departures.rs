//! The thread that stores departures of endpoints, so that the daemon's own thread never waits for the disk.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterelhoist_fleet::endpoint::DEPARTURE_TTL;
use dotterelhoist_fleet::message::Departure;
use dotterelhoist_store::departures::{self, Departure as Stored};
use dotterelhoist_store::disk::Folder;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Departures to store, with the sequence number of the write.
#[derive(Debug)]
struct Job {
    sequence: u64,
    departures: Vec<Stored>,
}

/// Handle of the thread, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread, which keeps these departures too. After each write that has been synced, it sends
    /// the sequence number of the last job in it to `stored`.
    pub(crate) fn spawn(
        folder: Folder,
        known: Vec<Stored>,
        stored: smol::channel::Sender<u64>,
    ) -> Writer {
        let (jobs, queue) = channel();
        thread::spawn(move || write_all(folder, known, &queue, &stored));
        Writer { jobs }
    }

    /// Queues departures. If the thread has ended, they are dropped and an error is logged.
    pub(crate) fn write(&self, sequence: u64, departures: Vec<Departure>) {
        let now = unix_ms();
        let departures = departures.into_iter().map(|departure| Stored {
            id: departure.id,
            started_unix_ms: departure.started_unix_ms,
            left_unix_ms: now.saturating_sub(departure.age_ms.into()),
        });
        let job = Job { sequence, departures: departures.collect() };
        if self.jobs.send(job).is_err() {
            log::error!(r#"{{"code":311,"event":"departure writer has ended","subject":"disk"}}"#);
        }
    }
}

/// Departures of a file that are not too old, with their ages by this daemon's clock. One that seems to lie
/// ahead has just happened: the clock was set back.
pub(crate) fn aged(stored: &[Stored]) -> Vec<Departure> {
    let now = unix_ms();
    let recent = stored.iter().filter(|departure| !is_expired(departure, now));
    let aged = recent.map(|departure| Departure {
        id: departure.id.clone(),
        started_unix_ms: departure.started_unix_ms,
        age_ms: now.saturating_sub(departure.left_unix_ms) as u32,
    });
    aged.collect()
}

fn is_expired(departure: &Stored, now: u64) -> bool {
    u128::from(now.saturating_sub(departure.left_unix_ms)) >= DEPARTURE_TTL.as_millis()
}

/// Milliseconds of the time of day since 1970.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Repeatedly adds all queued departures, writes those that are not too old and sends the last sequence number
/// to `stored`. A write that fails is retried, with what was queued meanwhile, until it succeeds.
fn write_all(
    mut folder: Folder,
    mut known: Vec<Stored>,
    queue: &Receiver<Job>,
    stored: &smol::channel::Sender<u64>,
) {
    while let Ok(first) = queue.recv() {
        let mut sequence = add(&mut known, first);
        loop {
            while let Ok(next) = queue.try_recv() {
                sequence = add(&mut known, next);
            }
            let now = unix_ms();
            known.retain(|departure| !is_expired(departure, now));
            let Err(error) = departures::write(&mut folder, &known) else { break };
            log::error!(r#"{{"code":312,"event":"disk error","subject":"{error}"}}"#);
            thread::sleep(RETRY_DELAY);
        }
        if stored.try_send(sequence).is_err() {
            return;
        }
    }
}

/// Adds the departures of a job to the known ones; returns its sequence number.
fn add(known: &mut Vec<Stored>, job: Job) -> u64 {
    for departure in job.departures {
        known.retain(|other| {
            other.id != departure.id || other.started_unix_ms != departure.started_unix_ms
        });
        known.push(departure);
    }
    job.sequence
}
