//! Settings of one instance.
//!
//! The text is converted once, at the start, into checked values. Any mistake
//! rejects the whole file, so that settings are never partially applied.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use medlarreel_core::code::Code;
use medlarreel_core::config::Mistake;
use tracing::Level;

mod defaults;
mod parse;

pub use defaults::annotated_defaults;
pub use parse::SCHEMA;

/// Club and place of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Club that the instance serves.
    pub club: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
}

/// Addresses that the instance listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// UDP frames and HTTP for peers, which are told this address.
    pub peers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
}

/// Services of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the list of instances.
    pub list: SocketAddr,
    /// Stream of the log service that holds the control records.
    pub stream: String,
}

/// Shared secrets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Security {
    /// Authenticates peers; the same at all instances.
    pub cluster_secret: Secret,
    /// Permits operators' actions.
    pub operator_token: Secret,
}

/// Limits of the instance itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests of callers that may be open at a time.
    pub open_requests: u32,
    /// Largest request head, in bytes.
    pub head_size: u32,
    /// Longest time for receiving a request head.
    pub head_timeout: Duration,
    /// Threads that handle traffic.
    pub workers: u16,
    /// Longest time for requests in flight at a shutdown.
    pub drain: Duration,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Output of log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: Level,
}

/// Everything that an instance learns from its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Club and place of the instance.
    pub instance: Identity,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Services of the platform.
    pub platform: Platform,
    /// Shared secrets.
    pub security: Security,
    /// Limits of the instance itself.
    pub limits: Limits,
    /// Output of log lines.
    pub log: Logging,
}

/// Text that is kept out of logs and error messages.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// The secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// A file that was not accepted, with every mistake in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFileError {
    /// Path of the file.
    pub file: String,
    /// Mistakes, by line.
    pub mistakes: Vec<Mistake>,
}

impl fmt::Display for InvalidFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = self.mistakes.iter();
        let lines: Vec<_> = lines
            .map(|entry| format!("{}:{entry}", self.file))
            .collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for InvalidFileError {}

impl Settings {
    /// Reads the settings file at a path.
    ///
    /// # Errors
    ///
    /// Every mistake in the file, or code 400 if it cannot be read.
    pub fn load(path: &Path) -> Result<Settings, InvalidFileError> {
        let rejected = |mistakes| InvalidFileError {
            file: path.display().to_string(),
            mistakes,
        };
        let text = read_text(path).map_err(|mistake| rejected(vec![mistake]))?;
        Settings::parse(&text).map_err(rejected)
    }
}

/// Text of the file at a path.
///
/// # Errors
///
/// Code 400 if the file cannot be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, Mistake> {
    std::fs::read_to_string(path).map_err(|error| Mistake {
        line: 1,
        code: Code::FileUnreadable,
        detail: error.to_string(),
        hint: "check the path, its permissions and that the text is UTF-8",
    })
}
