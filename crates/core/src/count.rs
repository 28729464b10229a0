//! Counters of requests, refusals, retries and other notable events of a daemon.

use std::collections::BTreeMap;

use strum::{Display, EnumIter};

use crate::request::Reason;

/// Why an attempt was retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The endpoint could not be reached.
    NotSent,
    /// The endpoint declined to run the request.
    Declined,
    /// The attempt failed before any part of an answer reached the caller.
    Lost,
}

/// Kind of event that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A request arrived.
    Received,
    /// An endpoint answered a request completely.
    Served,
    /// A request reused an idempotency key and got the recorded answer, or a refusal if the
    /// recorded request has no answer.
    Repeated,
    /// A request was sent to an endpoint.
    Sent,
    /// A request was refused or failed for this reason.
    Refused(Reason),
    /// An attempt was retried for this cause.
    Retried(Cause),
    /// The retry budget did not allow a retry.
    RetryDenied,
    /// A route was ejected.
    Ejected,
    /// An answer was aborted because its group was broken or had changed its generation.
    Aborted,
    /// An order was sent to an endpoint.
    Ordered,
    /// An announcement was received from an endpoint.
    Announced,
    /// A command was proposed again because its outcome did not arrive in time.
    Reproposed,
    /// An answer arrived from a daemon that no command with its ticket was forwarded to.
    AnswerIgnored,
    /// A usage line was not acknowledged as recorded before the daemon stopped.
    Unrecorded,
}

impl Counter {
    /// Name of the counter's metric.
    pub fn name(self) -> String {
        match self {
            Counter::Received => "requests.received".to_owned(),
            Counter::Served => "requests.served".to_owned(),
            Counter::Repeated => "requests.repeated".to_owned(),
            Counter::Sent => "requests.sent".to_owned(),
            Counter::Refused(reason) => format!("refused.{reason}"),
            Counter::Retried(cause) => format!("retried.{cause}"),
            Counter::RetryDenied => "retries.denied".to_owned(),
            Counter::Ejected => "routes.ejected".to_owned(),
            Counter::Aborted => "answers.aborted".to_owned(),
            Counter::Ordered => "orders.given".to_owned(),
            Counter::Announced => "announcements".to_owned(),
            Counter::Reproposed => "proposals.repeated".to_owned(),
            Counter::AnswerIgnored => "answers.ignored".to_owned(),
            Counter::Unrecorded => "usage.unrecorded".to_owned(),
        }
    }
}

/// Values of all counters since the daemon started.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    counts: BTreeMap<Counter, u64>,
}

impl Counters {
    /// Increments a counter.
    pub fn add(&mut self, counter: Counter) {
        *self.counts.entry(counter).or_default() += 1;
    }

    /// Value of a counter.
    pub fn count(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    /// Counters that are not zero, with their values.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.counts.iter().map(|(counter, count)| (*counter, *count))
    }
}
