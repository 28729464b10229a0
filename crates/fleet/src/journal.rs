//! Numbered log events.
//!
//! The catalogue for operators is `docs/log-events.md`.

use serde::Serialize;

/// A log event: a decision of a daemon, or a change of what it knows.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Event {
    /// Number in the catalogue.
    pub code: u16,
    /// What happened.
    pub event: &'static str,
    /// What it is about: a request id, a group, an endpoint or a daemon.
    pub subject: String,
    /// The inputs of the decision and its outcome, as `key=value` pairs or as text.
    pub detail: String,
}

impl Event {
    /// Creates an event with a number of the catalogue.
    ///
    /// ```
    /// use dotterelhoist_fleet::journal::Event;
    ///
    /// let event = Event::new(201, "leader elected", "10.0.0.1", "term=3");
    /// assert_eq!(event.code, 201);
    /// ```
    pub fn new<Subject, Detail>(
        code: u16,
        event: &'static str,
        subject: Subject,
        detail: Detail,
    ) -> Event
    where
        Subject: Into<String>,
        Detail: Into<String>,
    {
        Event { code, event, subject: subject.into(), detail: detail.into() }
    }
}
