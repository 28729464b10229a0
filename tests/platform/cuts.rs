//! Streams that a stand-in ends in an unusual way.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use super::engine::event;

/// What ends the body of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The connection, which is closed.
    Connection,
    /// The last chunk.
    Chunks,
    /// The length that the head states.
    Length,
}

/// How one run of a stream ends. The connection is closed after it.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// What ends the body.
    pub framing: Framing,
    /// Number of the last event that is sent whole; 0 for none.
    pub last_event: u64,
    /// Bytes that follow the last event.
    pub rest: &'static str,
}

impl Cut {
    /// Parts of the body in which the events after `last_event_id` are sent.
    pub fn parts(&self, last_event_id: u64) -> Vec<String> {
        let events = (last_event_id + 1..=self.last_event).map(event);
        events.chain([self.rest.to_owned()]).filter(|part| !part.is_empty()).collect()
    }
}

/// Cuts of streams by request id, in the order of the runs; shared by all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<Mutex<HashMap<String, VecDeque<Option<Cut>>>>>);

impl Cuts {
    /// Makes the next runs of a stream end like this; later ones are complete.
    pub fn plan<Planned>(&self, id: &str, cuts: Planned)
    where
        Planned: IntoIterator<Item = Cut>,
    {
        let cuts = cuts.into_iter().map(Some).collect();
        self.lock().insert(id.to_owned(), cuts);
    }

    /// Makes the second run of a stream end like this; the others are complete.
    pub fn plan_second(&self, id: &str, cut: Cut) {
        self.lock().insert(id.to_owned(), [None, Some(cut)].into());
    }

    /// Takes the cut of the run of a stream that begins now.
    pub fn next(&self, id: &str) -> Option<Cut> {
        self.lock().get_mut(id)?.pop_front().flatten()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, VecDeque<Option<Cut>>>> {
        self.0.lock().expect("no thread panics while it holds the lock")
    }
}
