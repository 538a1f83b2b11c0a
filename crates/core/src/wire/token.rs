//! Token that instances of a cluster present to each other over HTTP.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Purpose that keeps the token apart from the tags of frames.
const PURPOSE: &[u8] = b"medlarreel peer token";

/// Token in hexadecimal form, derived so that the secret itself never travels.
pub fn peer_token(secret: &[u8]) -> String {
    let mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes secrets of any length");
    let tag = mac.chain_update(PURPOSE).finalize().into_bytes();
    tag.iter().map(|byte| format!("{byte:02x}")).collect()
}
