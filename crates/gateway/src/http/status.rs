//! What a status code says of a response (RFC 9110, section 15).

use super::Error;

/// Kind of a response, by its status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Another response to the same request follows.
    Interim,
    /// The response to the request.
    Final,
}

impl Kind {
    /// The kind of a response with this status code. All codes that no response may have are errors, as the
    /// sender is faulty and what follows can't be told; so is 101, which only answers an `Upgrade`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] for 101 and for codes below 100 or above 599.
    pub fn of(status: u16) -> Result<Kind, Error> {
        match status {
            101 => Err(Error::Malformed("a switch of protocols that was not asked for")),
            100..=199 => Ok(Kind::Interim),
            200..=599 => Ok(Kind::Final),
            _ => Err(Error::Malformed("a status code that no response has")),
        }
    }
}
