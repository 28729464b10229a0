//! Counters: one for each reason to refuse and to retry, and for the main events.

use std::collections::BTreeMap;

use strum::{Display, EnumIter};

use crate::request::Reason;

/// Why an attempt was repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The endpoint could not be reached.
    NotSent,
    /// The endpoint declined.
    Declined,
    /// The attempt was lost before anything reached the caller.
    Lost,
}

/// Something that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A request that arrived.
    Received,
    /// A whole answer of an endpoint.
    Served,
    /// A recorded answer given again.
    Repeated,
    /// A request sent to an endpoint.
    Sent,
    /// A request that got another final answer.
    Refused(Reason),
    /// An attempt that is repeated.
    Retried(Cause),
    /// A retry that the budget did not allow.
    RetryDenied,
    /// A route that was ejected.
    Ejected,
    /// An answer that was stopped because its group is no longer whole.
    Aborted,
    /// An order given to an endpoint.
    Ordered,
    /// An announcement taken in.
    Announced,
    /// A command proposed again for want of an answer.
    Reproposed,
    /// A usage line that was not recorded when the daemon stopped.
    Unrecorded,
}

impl Counter {
    /// Name of the metric.
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
    /// Adds one.
    pub fn add(&mut self, counter: Counter) {
        *self.counts.entry(counter).or_default() += 1;
    }

    /// Value of one counter.
    pub fn count(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    /// Counters that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.counts.iter().map(|(counter, count)| (*counter, *count))
    }
}
