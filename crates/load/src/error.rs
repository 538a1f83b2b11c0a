//! Errors of this crate.

use std::fmt;
use std::net::SocketAddr;

/// Why a command could not run.
#[derive(Debug)]
pub enum Error {
    /// The command line is not valid; the text says which part.
    Usage(String),
    /// The target is outside the loopback range.
    NotLoopback(SocketAddr),
    /// The runtime could not be started.
    Runtime(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(text) => write!(f, "602 {text}; --help lists the options"),
            Error::NotLoopback(target) => {
                write!(f, "602 target {target} is not a loopback address")
            }
            Error::Runtime(error) => write!(f, "runtime: {error}"),
        }
    }
}

impl std::error::Error for Error {}
