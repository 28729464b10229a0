//! The second attempt of a request, which runs beside the current one.

use std::future::Future;

use dotterelhoist_fleet::entry::{Attempt, End, Loss};
use smol::channel::Receiver;

use crate::entry::Shell;
use crate::exchange::{fetch, Incoming, Reply};
use crate::protocol::Protocol;

use super::progress::Progress;

/// A second attempt whose response has arrived or which has failed.
pub(super) struct Hedge {
    attempt: Attempt,
    reply: Result<Reply, End>,
}

/// An attempt that a response begins or continues with.
pub(super) struct Current {
    pub attempt: Attempt,
    /// Its response, if the beginning has arrived.
    pub reply: Option<Reply>,
}

impl Hedge {
    /// Waits for a second attempt and runs it until its response can be forwarded.
    pub async fn run<Platform>(
        shell: &Shell<Platform>,
        incoming: &Incoming,
        progress: &Progress,
        hedges: &Receiver<Attempt>,
    ) -> Hedge
    where
        Platform: Protocol,
    {
        let Ok(attempt) = hedges.recv().await else { return std::future::pending().await };
        progress.start_hedge();
        let reply = fetch(shell, incoming, &attempt, progress.last_event_id.get()).await;
        Hedge { attempt, reply }
    }

    /// The attempt that takes over from the current one, or how this one ends: it has failed, or the
    /// current one has sent something to the caller meanwhile.
    pub fn take_over(self, progress: &Progress) -> Result<Current, End> {
        match self.reply? {
            Reply::Error(message) => Err(End::Failed { status: message.head.status }),
            _ if progress.has_advanced() || progress.writing.get() => Err(End::Dropped),
            reply if !progress.accepts(&reply) => Err(End::Lost(Loss::NotContinued)),
            reply => Ok(Current { attempt: self.attempt, reply: Some(reply) }),
        }
    }

    /// The attempt that follows the current one, which has ended. What `second` brings is dropped if
    /// the caller has been sent more since it began.
    pub async fn succeed<Second>(second: Second, progress: &Progress) -> Result<Current, End>
    where
        Second: Future<Output = Hedge>,
    {
        let advanced = progress.has_advanced();
        let hedge = if advanced { None } else { Some(second.await) };
        progress.end_hedge();
        let Hedge { attempt, reply } = hedge.ok_or(End::Dropped)?;
        Ok(Current { attempt, reply: Some(reply?) })
    }
}
