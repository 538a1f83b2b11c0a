//! Messages that are longer than a datagram, in pieces.
//!
//! Pieces can get lost or overtake each other. A message of which one is lost is
//! given up, since its sender repeats or supersedes it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time after which an incomplete message is given up; its pieces are sent at once.
const PATIENCE: Duration = Duration::from_secs(2);

/// Most pieces of a message, so that a wrong one can't exhaust the memory.
const MAX_PIECES: u16 = 64;

/// Most incomplete messages; each sender has about one on its way.
const MAX_INCOMPLETE: usize = 8;

/// Part of a message.
#[data(value)]
pub struct Fragment {
    /// Identity of the message among those of its sender.
    pub message: u64,
    /// Place of the piece.
    pub index: u16,
    /// Number of pieces.
    pub count: u16,
    /// Contents.
    pub bytes: Vec<u8>,
}

/// Cuts a message into pieces of at most `size` bytes; `None` if it has too many.
pub fn split_message(message: u64, bytes: &[u8], size: usize) -> Option<Vec<Fragment>> {
    let count = u16::try_from(bytes.len().div_ceil(size)).ok()?;
    let piece = |(index, bytes): (usize, &[u8])| Fragment {
        message,
        index: index as u16,
        count,
        bytes: bytes.to_vec(),
    };
    (count <= MAX_PIECES).then(|| bytes.chunks(size).enumerate().map(piece).collect())
}

#[derive(Debug)]
struct Incomplete {
    since: Time,
    pieces: Vec<Option<Vec<u8>>>,
}

/// Messages whose pieces are coming in.
#[derive(Debug, Default)]
pub struct Reassembler {
    incomplete: HashMap<(SocketAddr, u64), Incomplete>,
}

impl Reassembler {
    /// Adds a piece; returns the message if it is complete now.
    pub fn add(&mut self, now: Time, from: SocketAddr, piece: Fragment) -> Option<Vec<u8>> {
        self.incomplete
            .retain(|_, one| now.since(one.since) < PATIENCE);
        let key = (from, piece.message);
        let known = self.incomplete.contains_key(&key);
        if piece.count > MAX_PIECES || (!known && self.incomplete.len() >= MAX_INCOMPLETE) {
            return None;
        }
        let one = self.incomplete.entry(key).or_insert_with(|| Incomplete {
            since: now,
            pieces: vec![None; piece.count.into()],
        });
        *one.pieces.get_mut(usize::from(piece.index))? = Some(piece.bytes);
        if one.pieces.iter().any(Option::is_none) {
            return None;
        }
        let whole = self.incomplete.remove(&key)?;
        Some(whole.pieces.into_iter().flatten().flatten().collect())
    }
}
