//! Settings of one instance.
//!
//! The file is parsed and validated once at startup. Any mistake rejects the whole
//! file, so that settings are never partially applied.

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

/// Club and failure domain of the instance.
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
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// UDP and HTTP address for peers, advertised to them as is.
    pub peers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the list of upstreams.
    pub list: SocketAddr,
    /// Stream of the log service that holds the control records.
    pub stream: String,
}

/// Shared secrets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Security {
    /// Authenticates peers; identical at all instances.
    pub cluster_secret: Secret,
    /// Authorizes actions of operators.
    pub operator_token: Secret,
}

/// Resource limits and timeouts of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of open requests, including those forwarded by peers, at which requests
    /// from callers are refused.
    pub open_requests: u32,
    /// Largest request head, in bytes.
    pub head_size: u32,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Threads that serve callers.
    pub workers: u16,
    /// Time that requests in flight have to finish at a shutdown.
    pub drain: Duration,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Format and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Format of the lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: Level,
}

/// Validated settings file of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Club and failure domain of the instance.
    pub instance: Identity,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Shared secrets.
    pub security: Security,
    /// Resource limits and timeouts of the instance.
    pub limits: Limits,
    /// Format and level of the log.
    pub log: Logging,
}

/// Text that must not appear in logs or error messages.
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

/// Error for an invalid file; lists every mistake in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFileError {
    /// Path of the file.
    pub file: String,
    /// Mistakes, ordered by line.
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
    /// Reads and validates the settings file at a path.
    ///
    /// # Errors
    ///
    /// Lists every mistake in the file, or code 400 if it cannot be read.
    pub fn load(path: &Path) -> Result<Settings, InvalidFileError> {
        let invalid_file = |mistakes| InvalidFileError {
            file: path.display().to_string(),
            mistakes,
        };
        let text = read_text(path).map_err(|mistake| invalid_file(vec![mistake]))?;
        Settings::parse(&text).map_err(invalid_file)
    }
}

/// Reads a text file.
///
/// # Errors
///
/// Returns code 400 if the file cannot be read or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, Mistake> {
    std::fs::read_to_string(path).map_err(|error| Mistake {
        line: 1,
        code: Code::FileUnreadable,
        detail: error.to_string(),
        hint: "check the path, its permissions and that the text is UTF-8",
    })
}
