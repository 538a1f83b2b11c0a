//! Authenticated form of messages.

use bytes::Bytes;
use hmac::{Hmac, Mac};
use medlarreel_macros::data;
use sha2::Sha256;

use super::Message;
use crate::code::Code;
use crate::ids::Instance;

/// Largest encoded frame, in bytes.
pub const MAX_FRAME: usize = 60_000;

/// Version of the frame format.
const VERSION: u8 = 1;

/// Length of the authentication tag, in bytes.
const TAG: usize = 32;

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

/// Encodes and decodes frames of one club.
#[derive(Clone, Debug)]
pub struct Codec {
    key: Hmac<Sha256>,
    counter: u64,
}

impl Codec {
    /// Codec for the club's frames under the cluster secret.
    pub fn new(secret: &[u8], club: &str) -> Codec {
        let mut key = mac(secret);
        key.update(club.as_bytes());
        Codec { key, counter: 0 }
    }

    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// `Code::FrameOversized` beyond `MAX_FRAME`.
    pub fn encode(&mut self, sender: Instance, message: Message) -> Result<Bytes, Code> {
        self.counter += 1;
        let frame = Frame {
            sender,
            counter: self.counter,
            message,
        };
        let body = postcard::to_extend(&frame, vec![VERSION]).map_err(|_| Code::FrameMalformed)?;
        let tag = self.tag(&body);
        let whole = [&body[..], &tag[..]].concat();
        if whole.len() > MAX_FRAME {
            return Err(Code::FrameOversized);
        }
        Ok(Bytes::from(whole))
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// One of the `Frame` codes.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, Code> {
        if bytes.len() > MAX_FRAME {
            return Err(Code::FrameOversized);
        }
        let length = bytes.len().checked_sub(TAG).ok_or(Code::FrameMalformed)?;
        let (body, tag) = bytes.split_at(length);
        let mut key = self.key.clone();
        key.update(body);
        key.verify_slice(tag).map_err(|_| Code::FrameForeign)?;
        match body.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(|_| Code::FrameMalformed),
            _ => Err(Code::FrameVersion),
        }
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG] {
        let mut key = self.key.clone();
        key.update(body);
        key.finalize().into_bytes().into()
    }
}

/// Token that instances with the same secret present to each other over HTTP.
pub fn token(secret: &[u8]) -> String {
    let mut key = mac(secret);
    key.update(b"peer token");
    let tag = key.finalize().into_bytes();
    tag.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn mac(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes keys of any length")
}
