//! Token by which instances of a cluster authenticate to each other over HTTP.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Context of the derivation, which separates the token from the tags of frames.
const DERIVATION_CONTEXT: &[u8] = b"medlarreel peer token";

/// Derives the token, in hexadecimal form, so that the secret itself is never sent.
pub fn peer_token(secret: &[u8]) -> String {
    let mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes secrets of any length");
    let tag = mac.chain_update(DERIVATION_CONTEXT).finalize().into_bytes();
    tag.iter().map(|byte| format!("{byte:02x}")).collect()
}
