//! Streams of events that endpoints send, and what may continue a stream that has begun.

use dotterelhoist_fleet::entry::{Attempt, End, Loss};
use dotterelhoist_fleet::Name;

use crate::entry::Shell;
use crate::events::{Event, Splitter};
use crate::http::{BodyReader, Connection, Framing, ResponseHead};
use crate::memory::Reservation;
use crate::protocol::Protocol;

use super::{loss_of, return_connection, Incoming};

/// Bytes of events that the caller has, which one stream may repeat before others; a stream that
/// repeats more ends the attempt as [`End::Lost`].
const MAX_REPEATED_BYTES: usize = 1 << 20;

/// An event stream that an endpoint sends.
#[derive(Debug)]
pub(crate) struct EventStream {
    /// Head as the endpoint sent it.
    pub head: ResponseHead,
    /// Complete events that have been read and not yet been taken.
    pub events: Vec<Event>,
    /// Whether the endpoint has ended the stream.
    pub ended: bool,
    /// Id of the last event that was read, or that the caller had before.
    last_event_id: Option<u64>,
    /// Whether it goes on after an event that the caller has.
    continues: bool,
    /// Whether an event was read that the caller does not have.
    has_new: bool,
    /// Bytes of events that were skipped since the last new one.
    repeated_bytes: usize,
    connection: Connection,
    body: BodyReader,
    splitter: Splitter,
    /// Memory that the event holds which has not arrived completely.
    reservation: Reservation,
}

impl EventStream {
    /// Prepares to read the stream that follows a head. With `last_event_id`, it continues another one
    /// after that event.
    pub(super) fn open(
        head: ResponseHead,
        connection: Connection,
        reservation: Reservation,
        last_event_id: Option<u64>,
    ) -> EventStream {
        let continues = last_event_id.is_some();
        EventStream {
            body: BodyReader::new(head.framing),
            head,
            events: Vec::new(),
            ended: false,
            last_event_id,
            continues,
            has_new: false,
            repeated_bytes: 0,
            connection,
            splitter: Splitter::open(continues),
            reservation,
        }
    }

    /// Reads until there are events to forward, or the stream ends. Events whose id is not above the
    /// last one are skipped, because the caller has them.
    ///
    /// # Errors
    ///
    /// Returns [`End::Lost`] if the stream breaks off.
    pub(crate) async fn fill<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        request_id: &Name,
        target: &Name,
    ) -> Result<(), End>
    where
        Platform: Protocol,
    {
        while self.events.is_empty() && !self.ended {
            let part = self.connection.read_part(&mut self.body).await.map_err(loss_of)?;
            match part {
                Some(part) => {
                    shell.record_progress(target);
                    self.splitter.push(&part);
                    self.split_events().map_err(End::Lost)?;
                    if !self.reservation.resize(self.splitter.unfinished_bytes()) {
                        return Err(End::Lost(Loss::NoMemory));
                    }
                }
                None => {
                    let unfinished_bytes = self.splitter.unfinished_bytes();
                    let framing = self.head.framing;
                    shell.record_stream_end(request_id, target, framing, unfinished_bytes);
                    self.end().map_err(End::Lost)?;
                }
            }
        }
        Ok(())
    }

    /// Moves the complete events to `events`. One with data and without an id can't be told to follow
    /// what the caller has, so it continues no stream.
    fn split_events(&mut self) -> Result<(), Loss> {
        while let Some(event) = self.splitter.next().map_err(|_| Loss::EventTooLong)? {
            if event.is_known(self.last_event_id) {
                self.repeated_bytes += event.bytes.len();
                if self.repeated_bytes > MAX_REPEATED_BYTES {
                    return Err(Loss::Repeated);
                }
                continue;
            }
            if self.continues && event.has_data && event.id.is_none() {
                return Err(Loss::NotContinued);
            }
            self.repeated_bytes = 0;
            self.has_new |= event.has_data;
            self.last_event_id = event.id.or(self.last_event_id);
            self.events.push(event);
        }
        Ok(())
    }

    /// Decides whether the stream is complete now that its body has ended. Inside an event it has
    /// broken off, whatever ended the body. So has one that continues another with nothing, if only the
    /// end of the connection says that it is over. Otherwise what follows the last event, such as a comment,
    /// is moved to `events`.
    fn end(&mut self) -> Result<(), Loss> {
        if self.splitter.is_inside_event() {
            return Err(Loss::CutInEvent);
        }
        if self.continues && !self.has_new && self.head.framing == Framing::UntilClose {
            return Err(Loss::NotContinued);
        }
        self.ended = true;
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.events.push(Event::rest(rest));
        }
        Ok(())
    }

    /// Returns the connection to the pool, after the stream has ended.
    pub(crate) fn release<Platform>(
        self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
    ) where
        Platform: Protocol,
    {
        return_connection(shell, incoming, attempt, self.connection, &self.head);
    }
}
