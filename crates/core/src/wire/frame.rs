//! Authenticated form of messages.
//!
//! A datagram consists of a version byte, the postcard encoding of a `Frame` and a
//! tag. The tag is an HMAC-SHA256 over the length of the club's name, the name, the
//! version byte and the body, keyed with the cluster's secret. A frame of another
//! cluster, club or version is therefore rejected before its body is decoded.

use std::collections::BTreeMap;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use medlarreel_macros::data;
use sha2::Sha256;

use super::Message;
use crate::code::Code;
use crate::ids::Instance;

/// Version of the frame format.
pub const FRAME_VERSION: u8 = 1;

/// Maximum size of a datagram. The limit of UDP is 65,507 bytes.
pub const MAX_FRAME_BYTES: usize = 60_000;

/// Size of the authentication tag.
const TAG_BYTES: usize = 32;

/// Maximum number of senders that a `ReplayGuard` tracks.
pub const MAX_SENDERS: usize = 1_024;

/// Number of most recent counters per sender that may arrive out of order.
pub const REPLAY_WINDOW_FRAMES: u64 = 1_024;

/// Number of 64-bit words in the bit set of a `SenderWindow`.
const WINDOW_WORDS: usize = REPLAY_WINDOW_FRAMES as usize / 64;

/// Message with its sender and the sender's counter.
#[data(value)]
pub struct Frame {
    /// Instance that sent the message.
    pub sender: Instance,
    /// Counter of the sender, which increases with each frame.
    pub counter: u64,
    /// The message.
    pub message: Message,
}

/// Key under which the instances of a club authenticate their frames.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Derives the key of a club from the cluster's secret and the club's name.
    pub fn new(secret: &[u8], club: &str) -> Key {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes secrets of any length");
        let length = (club.len() as u64).to_le_bytes();
        Key(mac.chain_update(length).chain_update(club))
    }

    fn mac(&self, signed: &[u8]) -> Hmac<Sha256> {
        self.0.clone().chain_update(signed)
    }
}

impl Frame {
    /// Encodes the frame as a datagram.
    ///
    /// # Errors
    ///
    /// `FrameOversized` if the datagram would exceed `MAX_FRAME_BYTES`.
    pub fn encode(&self, key: &Key) -> Result<Bytes, Code> {
        let mut buffer = postcard::to_extend(self, vec![FRAME_VERSION])
            .expect("frames have no unserializable parts");
        if buffer.len() + TAG_BYTES > MAX_FRAME_BYTES {
            return Err(Code::FrameOversized);
        }
        let tag = key.mac(&buffer).finalize().into_bytes();
        buffer.extend_from_slice(&tag);
        Ok(Bytes::from(buffer))
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    ///
    /// `FrameOversized`, `FrameVersion`, `FrameForeign` for a wrong tag, or
    /// `FrameMalformed`.
    pub fn decode(key: &Key, datagram: &[u8]) -> Result<Frame, Code> {
        if datagram.len() > MAX_FRAME_BYTES {
            return Err(Code::FrameOversized);
        }
        let version = *datagram.first().ok_or(Code::FrameMalformed)?;
        if version != FRAME_VERSION {
            return Err(Code::FrameVersion);
        }
        let (signed, tag) = datagram
            .split_last_chunk::<TAG_BYTES>()
            .ok_or(Code::FrameMalformed)?;
        let mac = key.mac(signed);
        mac.verify_slice(tag).map_err(|_| Code::FrameForeign)?;
        let body = signed.get(1..).ok_or(Code::FrameMalformed)?;
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(Code::FrameMalformed),
        }
    }
}

/// Window of the counters received from one sender.
#[derive(Clone, Debug)]
struct SenderWindow {
    highest_counter: u64,
    /// Bit `counter % REPLAY_WINDOW_FRAMES` is set if that counter was received. It
    /// represents the only counter within the window with that remainder.
    bits: [u64; WINDOW_WORDS],
    /// Number of frames accepted from all senders up to this sender's last one.
    last_accepted: u64,
}

impl SenderWindow {
    fn new(counter: u64) -> SenderWindow {
        SenderWindow {
            highest_counter: counter,
            bits: [0; WINDOW_WORDS],
            last_accepted: 0,
        }
    }

    /// Inserts the counter. Returns false if it was inserted before or is too low for the
    /// window.
    fn insert(&mut self, counter: u64) -> bool {
        if counter > self.highest_counter {
            self.advance(counter);
        } else if self.highest_counter - counter >= REPLAY_WINDOW_FRAMES {
            return false;
        }
        let (word, mask) = bit_position(counter);
        let is_new = self.bits[word] & mask == 0;
        self.bits[word] |= mask;
        is_new
    }

    /// Advances the window and clears the bits of the counters that enter it.
    fn advance(&mut self, counter: u64) {
        if counter - self.highest_counter >= REPLAY_WINDOW_FRAMES {
            self.bits = [0; WINDOW_WORDS];
        } else {
            for entering in self.highest_counter + 1..=counter {
                let (word, mask) = bit_position(entering);
                self.bits[word] &= !mask;
            }
        }
        self.highest_counter = counter;
    }
}

/// Returns the index of the word and the mask of the counter's bit.
fn bit_position(counter: u64) -> (usize, u64) {
    let bit = counter % REPLAY_WINDOW_FRAMES;
    ((bit / 64) as usize, 1 << (bit % 64))
}

/// Rejects replayed frames.
///
/// It keeps a window of counters for each of the `MAX_SENDERS` senders heard most
/// recently. Only processes that know the secret are senders, so an evicted one has most
/// likely ended. A replayed frame of an evicted sender is accepted once more, which is
/// harmless because of the nonces and versions in messages.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<Instance, SenderWindow>,
    /// Number of frames accepted from all senders.
    accepted: u64,
}

impl ReplayGuard {
    /// Creates a guard that has accepted no frames.
    pub fn new() -> ReplayGuard {
        ReplayGuard::default()
    }

    /// Returns the number of tracked senders.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Accepts an authenticated frame unless it was accepted before.
    ///
    /// # Errors
    ///
    /// `FrameReplayed` if the counter was accepted before, or is lower than the highest
    /// one by `REPLAY_WINDOW_FRAMES` or more.
    pub fn accept(&mut self, sender: Instance, counter: u64) -> Result<(), Code> {
        if !self.senders.contains_key(&sender) {
            self.evict_sender_if_full();
        }
        let window = self
            .senders
            .entry(sender)
            .or_insert_with(|| SenderWindow::new(counter));
        if !window.insert(counter) {
            return Err(Code::FrameReplayed);
        }
        self.accepted += 1;
        window.last_accepted = self.accepted;
        Ok(())
    }

    /// Evicts the sender heard least recently if the limit is reached.
    fn evict_sender_if_full(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, window)| window.last_accepted);
        if let Some(sender) = oldest.map(|(&sender, _)| sender) {
            self.senders.remove(&sender);
        }
    }
}
