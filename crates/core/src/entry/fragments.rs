//! Fragmentation and reassembly of messages that do not fit into one datagram.
//!
//! Fragments may be lost or reordered. A message that misses a fragment is dropped,
//! since its sender repeats it or replaces it with a newer one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_macros::data;

use crate::time::Time;

/// Time after which an incomplete message is dropped. Its fragments are sent at once,
/// so one that is still missing by then is considered lost.
const REASSEMBLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of fragments in a message, so that a malformed fragment cannot
/// exhaust memory.
const MAX_FRAGMENTS: u16 = 64;

/// Maximum number of incomplete messages from all senders; fragments of further messages
/// are dropped. Each sender has about one message in flight, so this is enough for eight
/// senders at once.
const MAX_INCOMPLETE_MESSAGES: usize = 8;

/// One part of a fragmented message.
#[data(value)]
pub struct Fragment {
    /// Identifier of the message, unique per sender.
    pub message_id: u64,
    /// Position of the fragment in the message, counted from 0.
    pub index: u16,
    /// Number of fragments in the message.
    pub count: u16,
    /// Payload.
    pub bytes: Vec<u8>,
}

/// Splits a message into fragments of at most `size` bytes. Returns `None` if that
/// takes more than `MAX_FRAGMENTS`.
pub fn split_message(message_id: u64, bytes: &[u8], size: usize) -> Option<Vec<Fragment>> {
    let count = u16::try_from(bytes.len().div_ceil(size)).ok()?;
    let fragment = |(index, bytes): (usize, &[u8])| Fragment {
        message_id,
        index: index as u16,
        count,
        bytes: bytes.to_vec(),
    };
    (count <= MAX_FRAGMENTS).then(|| bytes.chunks(size).enumerate().map(fragment).collect())
}

#[derive(Debug)]
struct PartialMessage {
    first_seen: Time,
    fragments: Vec<Option<Vec<u8>>>,
}

/// Collects fragments until their messages are complete.
#[derive(Debug, Default)]
pub struct Reassembler {
    incomplete: HashMap<(SocketAddr, u64), PartialMessage>,
}

impl Reassembler {
    /// Bytes of the fragments of incomplete messages.
    pub fn held_bytes(&self) -> usize {
        let messages = self.incomplete.values();
        let fragments = messages.flat_map(|partial| partial.fragments.iter().flatten());
        fragments.map(Vec::len).sum()
    }

    /// Adds a fragment and returns the message if this completes it. Drops the fragment
    /// if a limit is exceeded, and incomplete messages after `REASSEMBLY_TIMEOUT`.
    pub fn add(&mut self, now: Time, from: SocketAddr, fragment: Fragment) -> Option<Vec<u8>> {
        self.incomplete
            .retain(|_, partial| now.since(partial.first_seen) < REASSEMBLY_TIMEOUT);
        let key = (from, fragment.message_id);
        let known = self.incomplete.contains_key(&key);
        if fragment.count > MAX_FRAGMENTS
            || (!known && self.incomplete.len() >= MAX_INCOMPLETE_MESSAGES)
        {
            return None;
        }
        let partial = self
            .incomplete
            .entry(key)
            .or_insert_with(|| PartialMessage {
                first_seen: now,
                fragments: vec![None; fragment.count.into()],
            });
        *partial.fragments.get_mut(usize::from(fragment.index))? = Some(fragment.bytes);
        if partial.fragments.iter().any(Option::is_none) {
            return None;
        }
        let complete = self.incomplete.remove(&key)?;
        Some(complete.fragments.into_iter().flatten().flatten().collect())
    }
}
