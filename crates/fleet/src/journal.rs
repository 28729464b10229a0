//! Numbered log events.
//!
//! The catalogue for operators is `docs/log-events.md`.

use serde::Serialize;

/// A decision, or a change of what a daemon believes.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Event {
    /// Number in the catalogue.
    pub code: u16,
    /// What happened.
    pub event: &'static str,
    /// Whom it is about: a request id, a group, an endpoint or a daemon.
    pub subject: String,
    /// The inputs that decided it, and the outcome.
    pub detail: String,
}

impl Event {
    /// Makes an event.
    ///
    /// ```
    /// let event = dotterelhoist_fleet::journal::Event::new(201, "elected", "10.0.0.1", "term=3");
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
