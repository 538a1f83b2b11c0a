//! Authenticated form of messages.

use medlarreel_macros::data;

use super::Message;
use crate::ids::Instance;

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
