//! The crate's error.

use std::fmt;

/// Why an exchange or a command failed.
#[derive(Debug)]
pub enum Error {
    /// The answer is withheld and the connection closed, as a fault demands.
    ResponseDropped,
    /// A request is malformed; the text says how.
    Malformed(String),
    /// A request names something that does not exist.
    NotFound(String),
    /// The connection failed.
    Connection(String),
    /// No answer arrived in time.
    Timeout,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::ResponseDropped => f.write_str("the answer is withheld"),
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
