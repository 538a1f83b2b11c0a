//! Faults that several stand-ins share.

use std::future;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::server::{self, Reply};

/// Whether a service can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// The service works.
    #[default]
    No,
    /// Every request is answered 503.
    Refuse,
    /// Requests are read and never answered, also after the fault has ended.
    Hang,
}

impl Outage {
    /// The answer that the fault gives in place of the ordinary one, if any.
    pub async fn intercept(self) -> Option<Reply> {
        match self {
            Outage::No => None,
            Outage::Refuse => Some(server::text(503, "unavailable")),
            Outage::Hang => future::pending().await,
        }
    }
}

/// Takes one from a counter of faults still to be shown; false if none is left.
pub fn consume_one(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

/// Parses the JSON body of an administrative request.
///
/// # Errors
///
/// `Malformed` with the parser's message.
pub fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}
