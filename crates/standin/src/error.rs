//! Error type of the crate.

use std::fmt;

/// Reason why handling a request, an HTTP exchange or a command failed.
#[derive(Debug)]
pub enum Error {
    /// An injected fault drops the response and closes the connection.
    ResponseDropped,
    /// A request is invalid, or a JSON body cannot be parsed. Contains a description of
    /// the problem.
    Malformed(String),
    /// A request refers to a path or a list entry that does not exist. Contains its name.
    NotFound(String),
    /// A connection or an exchange on it failed, a response body was too large, or a
    /// socket could not be bound. Contains the cause.
    Connection(String),
    /// No complete response arrived before the timeout.
    Timeout,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::ResponseDropped => f.write_str("the response was dropped by an injected fault"),
            Error::Malformed(text) => write!(f, "malformed request: {text}"),
            Error::NotFound(text) => write!(f, "not found: {text}"),
            Error::Connection(text) => write!(f, "connection failed: {text}"),
            Error::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Connection(error.to_string())
    }
}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Error {
        Error::Connection(error.to_string())
    }
}
