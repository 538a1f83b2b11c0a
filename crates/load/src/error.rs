//! Errors of the load generator and the benchmarks.

use std::fmt;
use std::net::SocketAddr;

/// Reason why a command could not run.
#[derive(Debug)]
pub enum Error {
    /// The command line is invalid; the text names the invalid part.
    Usage(String),
    /// The target is not a loopback address.
    NotLoopback(SocketAddr),
    /// The Tokio runtime could not be started.
    Runtime(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(text) => write!(f, "602 {text}; --help lists the options"),
            Error::NotLoopback(target) => {
                write!(f, "602 target {target} is not a loopback address")
            }
            Error::Runtime(error) => write!(f, "the runtime could not be started: {error}"),
        }
    }
}

impl std::error::Error for Error {}
