//! What can go wrong in an exchange over the network.

use std::fmt;

/// Failure of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was made, or nothing was sent on it.
    NotSent(String),
    /// The request may have arrived; there is no usable answer.
    NoAnswer(String),
    /// The other side says that nothing was done.
    Refused(u16),
    /// The answer can't be understood.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(why) => write!(f, "not sent: {why}"),
            Error::NoAnswer(why) => write!(f, "no answer: {why}"),
            Error::Refused(status) => write!(f, "refused with status {status}"),
            Error::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

impl std::error::Error for Error {}
