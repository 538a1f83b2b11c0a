//! Bytes of request bodies in flight to each upstream.
//!
//! An upstream ends if the requests that it holds exceed its memory, which it doesn't tell.
//! An instance therefore has no more in flight to one upstream than the largest body that
//! callers may send, which each upstream must hold.

use std::collections::HashMap;

use super::memory::SMALL_BODY_BYTES;
use crate::ids::Upstream;

/// Bytes of large bodies in flight, by upstream.
#[derive(Clone, Debug, Default)]
pub struct BodiesInFlight {
    bytes: HashMap<Upstream, usize>,
}

impl BodiesInFlight {
    /// Adds a body of `bytes` to those in flight to an upstream. Returns false if they would
    /// exceed `limit` with it. Small bodies are not counted, and a single one always may be
    /// sent.
    pub fn begin(&mut self, upstream: Upstream, bytes: usize, limit: usize) -> bool {
        if bytes <= SMALL_BODY_BYTES {
            return true;
        }
        let in_flight = self.bytes.entry(upstream).or_default();
        let fits = *in_flight == 0 || *in_flight + bytes <= limit;
        if fits {
            *in_flight += bytes;
        }
        fits
    }

    /// Removes a body that was added.
    pub fn end(&mut self, upstream: Upstream, bytes: usize) {
        if bytes <= SMALL_BODY_BYTES {
            return;
        }
        if let Some(in_flight) = self.bytes.get_mut(&upstream) {
            *in_flight = in_flight.saturating_sub(bytes);
            if *in_flight == 0 {
                self.bytes.remove(&upstream);
            }
        }
    }
}
