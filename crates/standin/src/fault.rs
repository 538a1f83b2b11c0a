//! Fault injection and JSON parsing shared by several stand-ins.

use std::future;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::server::{self, Reply};

/// Injected outage of a service. Administrative requests are not affected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage; the service works.
    #[default]
    No,
    /// Requests get status 503 and have no effect.
    Refuse,
    /// Requests are read but never answered, not even after the outage has ended.
    Hang,
}

impl Outage {
    /// Returns the response that replaces the regular one, if there is an outage.
    /// Never completes for `Hang`.
    pub async fn intercept(self) -> Option<Reply> {
        match self {
            Outage::No => None,
            Outage::Refuse => Some(server::text(503, "unavailable")),
            Outage::Hang => future::pending().await,
        }
    }
}

/// Decrements a counter of faults that are still to be injected. Returns `false` if
/// the counter was zero.
pub fn consume_fault(remaining: &mut u32) -> bool {
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}

/// Parses a JSON body.
///
/// # Errors
///
/// `Error::Malformed` with the parser's message.
pub fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}
