//! Order in which responses use the machine's network link.
//!
//! On a narrow link a small response waits behind the large ones that were written before
//! it. Large responses are therefore written in pieces, as fast as the link carries them and
//! no faster, and one at a time: the most urgent rank first, and within a rank the request
//! that came first. Everything else is written at once and only counted.
//!
//! The link also decides whether a request whose response is expected to be large can be
//! answered in time. One that can't is refused before it is sent to an upstream.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Size from which a response is large, in bytes. Smaller ones take up to 26 ms of a link of
/// 10 Mbit/s.
pub const LARGE_RESPONSE_BYTES: usize = 32 * 1024;

/// Size of the pieces in which large responses are written, in bytes. One takes 13 ms of a
/// link of 10 Mbit/s, which is what a small response may wait for.
pub const PIECE_BYTES: usize = 16 * 1024;

/// Part of the link that large responses use. The rest carries what isn't counted: headers
/// of packets, messages between instances and calls to the store.
const USABLE_SHARE: f64 = 0.9;

/// Time that what was written may need to leave before a further piece is written. It covers
/// the delay of timers, so that the link is not idle in between.
const MAX_BACKLOG: Duration = Duration::from_millis(20);

/// Weight of the latest response in the average size of a route's responses.
const SIZE_SMOOTHING: f64 = 0.1;

/// A transfer of a response, in the order in which transfers use the link.
#[data(key)]
pub struct Transfer {
    rank: u8,
    number: u64,
}

/// Answer to a transfer that wants to write a piece.
#[data(key)]
pub enum Permit {
    /// The piece is to be written now.
    Granted,
    /// The piece is to be requested again at this time.
    Later(Time),
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Bytes that are expected or left to be written.
    left: usize,
    /// Whether the next piece is ready to be written, which it is not while a slow caller
    /// or an upstream is waited for.
    is_ready: bool,
}

/// Use of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Bytes per second; `None` if the rate is not known, and nothing is delayed or refused.
    rate: Option<f64>,
    /// Time at which everything written so far has left.
    free_at: Time,
    transfers: BTreeMap<Transfer, Progress>,
    next: u64,
    /// Average size of a response, by route.
    sizes: HashMap<String, f64>,
}

impl Link {
    /// Creates the state of a link that carries this number of bits per second.
    pub fn new(bits_per_second: Option<f64>) -> Link {
        let rate = bits_per_second.filter(|bits| *bits > 0.0);
        Link {
            rate: rate.map(|bits| bits / 8.0 * USABLE_SHARE),
            free_at: Time(0),
            transfers: BTreeMap::new(),
            next: 0,
            sizes: HashMap::new(),
        }
    }

    /// Bytes of large responses that are expected or left to be written.
    pub fn pending(&self) -> usize {
        self.transfers.values().map(|progress| progress.left).sum()
    }

    /// Opens the transfer of a response that is to come at about `ready_at`.
    ///
    /// # Errors
    ///
    /// Returns the time until the link has room if the response is expected to be large and
    /// can't have left by the deadline.
    pub fn open(
        &mut self,
        now: Time,
        route: &str,
        rank: u8,
        ready_at: Time,
        deadline: Time,
    ) -> Result<Transfer, Duration> {
        let size = self.sizes.get(route).copied().unwrap_or_default();
        let expected = if size > LARGE_RESPONSE_BYTES as f64 {
            size
        } else {
            0.0
        };
        let transfer = Transfer {
            rank,
            number: self.next,
        };
        if let Some(rate) = self.rate
            && expected > 0.0
        {
            let ahead = self.transfers.range(..transfer);
            let ahead: usize = ahead.map(|(_, progress)| progress.left).sum();
            let time = |bytes| Duration::from_secs_f64(bytes / rate);
            let free_at = self.free_at.max(now) + time(ahead as f64);
            let done = free_at.max(ready_at) + time(expected);
            if done > deadline {
                return Err(done.since(deadline));
            }
        }
        self.next += 1;
        let progress = Progress {
            left: expected as usize,
            is_ready: false,
        };
        self.transfers.insert(transfer, progress);
        Ok(transfer)
    }

    /// Records the size of a response, which is written from now on.
    pub fn begin(&mut self, now: Time, transfer: Transfer, route: &str, bytes: usize) {
        let size = bytes as f64;
        match self.sizes.get_mut(route) {
            Some(average) => *average += SIZE_SMOOTHING * (size - *average),
            None => {
                self.sizes.insert(route.to_owned(), size);
            }
        }
        if bytes <= LARGE_RESPONSE_BYTES {
            self.record_write(now, bytes);
            self.close(transfer);
        } else if let Some(progress) = self.transfers.get_mut(&transfer) {
            progress.left = bytes;
        }
    }

    /// Removes a transfer, whether it is complete or given up.
    pub fn close(&mut self, transfer: Transfer) {
        self.transfers.remove(&transfer);
    }

    /// Records that bytes are written without a permit.
    pub fn record_write(&mut self, now: Time, bytes: usize) {
        if let Some(rate) = self.rate {
            let taken = Duration::from_secs_f64(bytes as f64 / rate);
            self.free_at = self.free_at.max(now) + taken;
        }
    }

    /// Requests to write the next piece of a transfer.
    pub fn request(&mut self, now: Time, transfer: Transfer, bytes: usize) -> Permit {
        let (Some(rate), Some(progress)) = (self.rate, self.transfers.get_mut(&transfer)) else {
            return Permit::Granted;
        };
        progress.is_ready = true;
        let ahead = self.transfers.range(..transfer);
        let ahead = ahead.filter(|(_, progress)| progress.is_ready).count();
        let room_at = (self.free_at - MAX_BACKLOG).max(now);
        if ahead == 0 && room_at == now {
            self.record_write(now, bytes);
            if let Some(progress) = self.transfers.get_mut(&transfer) {
                progress.left = progress.left.saturating_sub(bytes);
                progress.is_ready = false;
            }
            return Permit::Granted;
        }
        let piece = Duration::from_secs_f64(PIECE_BYTES as f64 / rate);
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX);
        Permit::Later(room_at + piece.saturating_mul(turns))
    }
}
