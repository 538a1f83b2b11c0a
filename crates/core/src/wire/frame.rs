//! Authenticated form of messages.
//!
//! A datagram is a version byte, the postcard form of a `Frame` and a tag. The
//! tag is an HMAC-SHA256 under the cluster's secret over the club's name, the
//! version byte and the body, so that a frame of another cluster, club or
//! version is refused before its body is decoded.

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

/// Largest datagram, in bytes; the limit of UDP is 65,507.
pub const MAX_FRAME_BYTES: usize = 60_000;

/// Length of the tag, in bytes.
const TAG: usize = 32;

/// Number of senders that a `Replay` remembers.
pub const MAX_SENDERS: usize = 1_024;

/// Number of counters per sender that may arrive out of order.
pub const REPLAY_WINDOW_FRAMES: u64 = 1_024;

const WORDS: usize = REPLAY_WINDOW_FRAMES as usize / 64;

/// Message with its sender.
#[data(value)]
pub struct Frame {
    /// Instance that sent the message.
    pub sender: Instance,
    /// Counter of the sender, growing with each frame.
    pub counter: u64,
    /// The message.
    pub message: Message,
}

/// Key under which the instances of a club authenticate their frames.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Key of a club, from the cluster's secret and the club's name.
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
    /// `FrameOversized` if it would exceed `MAX_FRAME`.
    pub fn encode(&self, key: &Key) -> Result<Bytes, Code> {
        let mut buffer = postcard::to_extend(self, vec![FRAME_VERSION])
            .expect("frames have no unserializable parts");
        if buffer.len() + TAG > MAX_FRAME_BYTES {
            return Err(Code::FrameOversized);
        }
        let tag = key.mac(&buffer).finalize().into_bytes();
        buffer.extend_from_slice(&tag);
        Ok(Bytes::from(buffer))
    }

    /// Checks and decodes a datagram.
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
            .split_last_chunk::<TAG>()
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

/// Counters of one sender.
#[derive(Clone, Debug)]
struct Seen {
    highest: u64,
    /// Bit `counter % WINDOW` is set if that counter was seen; it stands for
    /// the one counter of that remainder within the window.
    bits: [u64; WORDS],
    /// When the sender was last heard, counted in accepted frames.
    heard: u64,
}

impl Seen {
    fn new(counter: u64) -> Seen {
        Seen {
            highest: counter,
            bits: [0; WORDS],
            heard: 0,
        }
    }

    /// Notes the counter; returns whether it is new.
    fn note(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance(counter);
        } else if self.highest - counter >= REPLAY_WINDOW_FRAMES {
            return false;
        }
        let (word, mask) = position(counter);
        let new = self.bits[word] & mask == 0;
        self.bits[word] |= mask;
        new
    }

    /// Moves the window up and clears the counters that enter it.
    fn advance(&mut self, counter: u64) {
        if counter - self.highest >= REPLAY_WINDOW_FRAMES {
            self.bits = [0; WORDS];
        } else {
            for entering in self.highest + 1..=counter {
                let (word, mask) = position(entering);
                self.bits[word] &= !mask;
            }
        }
        self.highest = counter;
    }
}

fn position(counter: u64) -> (usize, u64) {
    let bit = counter % REPLAY_WINDOW_FRAMES;
    ((bit / 64) as usize, 1 << (bit % 64))
}

/// Guard against frames that arrive twice.
///
/// It keeps a window of counters for each of the `SENDERS` heard last. Only
/// processes that know the secret are senders, so an older one is most likely
/// gone. A repeated frame of a forgotten sender is accepted once more; the
/// nonces and versions in messages keep that harmless.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<Instance, Seen>,
    accepted: u64,
}

impl ReplayGuard {
    /// Guard that has seen nothing yet.
    pub fn new() -> ReplayGuard {
        ReplayGuard::default()
    }

    /// Number of senders that are remembered.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Accepts an authenticated frame unless it was seen before.
    ///
    /// # Errors
    ///
    /// `FrameReplayed` if the counter was seen before or lies `WINDOW` or more
    /// behind the highest one.
    pub fn accept(&mut self, sender: Instance, counter: u64) -> Result<(), Code> {
        if !self.senders.contains_key(&sender) {
            self.make_room();
        }
        let seen = self
            .senders
            .entry(sender)
            .or_insert_with(|| Seen::new(counter));
        if !seen.note(counter) {
            return Err(Code::FrameReplayed);
        }
        self.accepted += 1;
        seen.heard = self.accepted;
        Ok(())
    }

    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, seen)| seen.heard);
        if let Some(sender) = oldest.map(|(&sender, _)| sender) {
            self.senders.remove(&sender);
        }
    }
}
