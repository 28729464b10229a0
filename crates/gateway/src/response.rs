//! The response to a caller's request: chooses between the attempts, and forwards what endpoints
//! send.

use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;

use dotterelhoist_fleet::entry::{Attempt, End, Event, Loss, Refusal};
use futures_lite::FutureExt;
use smol::channel::Receiver;
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;
use crate::entry::Shell;
use crate::exchange::{fetch, EventStream, Incoming, Message, Reply};
use crate::protocol::Protocol;

use self::hedge::{Current, Hedge};
use self::output::Output;
use self::progress::Progress;

mod hedge;
mod output;
mod progress;

/// What ended first while a second attempt could run.
enum Outcome {
    /// The current attempt.
    Ended(End),
    /// The second one, or it has something to forward.
    Hedged(Hedge),
}

/// The response to a caller's request, across all attempts.
#[derive(Debug)]
pub(crate) struct Response {
    output: Output,
    progress: Rc<Progress>,
    /// The error response of the last attempt that ended as [`End::Failed`], held until the reducer
    /// decides whether it is forwarded.
    error_response: Option<Message>,
}

impl Response {
    /// Prepares a response on the caller's connection; nothing is sent yet.
    pub(crate) fn open(stream: TcpStream, keep_alive: bool) -> Response {
        let progress = Rc::<Progress>::default();
        let output = Output { stream, keep_alive, progress: progress.clone() };
        Response { output, progress, error_response: None }
    }

    /// Whether sending the response has begun, so that a refusal can only cut it off.
    pub(crate) fn has_begun(&self) -> bool {
        self.progress.status.get().is_some()
    }

    /// Whether the connection stays open after the response.
    pub(crate) fn keep_alive(&self) -> bool {
        self.output.keep_alive
    }

    /// Sends the request to an endpoint and forwards the response, until the deadline of the
    /// attempt. An attempt from `hedges` runs beside it; the one whose response arrives first goes
    /// on. Returns how the last of them ended; the end of each other one is passed to the reducer.
    pub(crate) async fn run_attempt<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: Attempt,
        hedges: &Receiver<Attempt>,
    ) -> End
    where
        Platform: Protocol,
    {
        let deadline = attempt.deadline;
        let attempts = async { Some(self.run_attempts(shell, incoming, attempt, hedges).await) };
        let timed_out = async {
            Timer::after(deadline.since(clock::now())).await;
            None
        };
        let end = attempts.or(timed_out).await;
        end.unwrap_or_else(|| End::TimedOut { begun: self.has_begun() })
    }

    /// Like [`Self::run_attempt`], without the deadline.
    async fn run_attempts<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: Attempt,
        hedges: &Receiver<Attempt>,
    ) -> End
    where
        Platform: Protocol,
    {
        let id = incoming.id;
        let progress = self.progress.clone();
        let start_second = || Hedge::run(shell, incoming, &progress, hedges);
        let report_failed = |end| shell.apply(Event::HedgeEnded(id, end));
        let mut second = pin!(start_second());
        let mut current = Current { attempt, reply: None };
        loop {
            let first = self.exchange(shell, incoming, current);
            let race = run_until_taken_over(
                first,
                second.as_mut(),
                start_second,
                report_failed,
                &progress,
            );
            current = match race.await {
                Ok(successor) => {
                    shell.apply(Event::HedgeAdopted(id));
                    successor
                }
                Err(end) if end == End::Answered => return end,
                Err(end) if !progress.has_hedge() && hedges.is_empty() => return end,
                Err(end) => {
                    shell.apply(Event::AttemptEnded(id, end));
                    let successor = Hedge::succeed(second.as_mut(), &progress).await;
                    second.set(start_second());
                    match successor {
                        Ok(successor) => successor,
                        Err(end) => return end,
                    }
                }
            };
        }
    }

    /// Forwards the response of an endpoint, or sends the request first if none has arrived. An error
    /// response is only stored, for [`Self::send_error_response`].
    async fn exchange<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        current: Current,
    ) -> End
    where
        Platform: Protocol,
    {
        let Current { attempt, reply } = current;
        let last_event_id = self.progress.last_event_id.get();
        let reply = match reply {
            Some(reply) => Ok(reply),
            None => fetch(shell, incoming, &attempt, last_event_id).await,
        };
        match reply {
            Ok(reply) if !self.progress.accepts(&reply) => End::Lost(Loss::NotContinued),
            Ok(Reply::Stream(stream)) => {
                self.forward_events(shell, incoming, &attempt, *stream).await
            }
            Ok(Reply::Complete(message)) => {
                shell.record_write(incoming.id, true);
                self.output.send_complete(&message).await;
                shell.record_write(incoming.id, false);
                End::Answered
            }
            Ok(Reply::Error(message)) => {
                let status = message.head.status;
                self.error_response = Some(message);
                End::Failed { status }
            }
            Err(end) => end,
        }
    }

    /// Forwards a stream event by event.
    async fn forward_events<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
        mut stream: EventStream,
    ) -> End
    where
        Platform: Protocol,
    {
        let id = incoming.id;
        loop {
            if stream.events.iter().any(|event| event.has_data && event.id.is_none()) {
                shell.record_event_without_id(id);
            }
            let bytes = self.output.encode_events(&mut stream);
            if !bytes.is_empty() {
                shell.record_response_start(id);
                shell.record_write(id, true);
                self.output.send(stream.head.status, &bytes).await;
                shell.record_write(id, false);
            }
            if stream.ended {
                stream.release(shell, incoming, attempt);
                return End::Answered;
            }
            if let Err(end) = stream.fill(shell, &incoming.request_id, &attempt.target).await {
                return end;
            }
        }
    }

    /// Forwards the held error response of an endpoint. If a response has begun, nothing is sent, and the
    /// connection is closed as by [`Self::send_refusal`].
    pub(crate) async fn send_error_response(&mut self) {
        if self.has_begun() {
            self.output.keep_alive = false;
            return;
        }
        if let Some(message) = self.error_response.take() {
            self.output.send_complete(&message).await;
        }
    }

    /// Sends a refusal by the daemon itself. If the response has begun, nothing is sent, and the
    /// connection is closed so that the caller notices the truncation.
    pub(crate) async fn send_refusal(
        &mut self,
        id_header: &str,
        request_id: &str,
        refusal: &Refusal,
    ) {
        if self.has_begun() {
            self.output.keep_alive = false;
            return;
        }
        self.output.send_refusal(id_header, request_id, refusal).await;
    }
}

/// Runs the current attempt until it ends, which is the error, or a second one takes over. Second
/// attempts that fail are reported, and the next one is awaited.
async fn run_until_taken_over<First, Second, Start, Report>(
    first: First,
    mut second: Pin<&mut Second>,
    start_second: Start,
    report_failed: Report,
    progress: &Progress,
) -> Result<Current, End>
where
    First: Future<Output = End>,
    Second: Future<Output = Hedge>,
    Start: Fn() -> Second,
    Report: Fn(End),
{
    let mut first = pin!(first);
    loop {
        let ended = async { Outcome::Ended(first.as_mut().await) };
        let hedged = async { Outcome::Hedged(second.as_mut().await) };
        let hedge = match ended.or(hedged).await {
            Outcome::Ended(end) => return Err(end),
            Outcome::Hedged(hedge) => hedge,
        };
        let takeover = hedge.take_over(progress);
        progress.end_hedge();
        second.set(start_second());
        match takeover {
            Ok(successor) => return Ok(successor),
            Err(end) => report_failed(end),
        }
    }
}
