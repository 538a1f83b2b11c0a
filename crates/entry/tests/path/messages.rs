//! Encoding of messages between instances.

use std::net::SocketAddr;

use medlarreel_core::entry::fragments::Reassembler;
use medlarreel_core::time::Time;
use medlarreel_entry::peers::{Message, to_datagrams};

/// Largest payload of a UDP datagram over IPv4.
const MAX_UDP_PAYLOAD: usize = 65_507;

/// Guards against a message that a relay cannot pass on because it is larger than a
/// datagram: the owner map of a large fleet.
#[test]
fn long_messages_are_sent_in_datagrams_that_fit() {
    let from = SocketAddr::from(([127, 0, 0, 1], 7_660));
    let message = vec![7; 200_000];

    let datagrams = to_datagrams(message.clone()).unwrap();

    assert!(datagrams.iter().all(|bytes| bytes.len() <= MAX_UDP_PAYLOAD));
    let mut reassembler = Reassembler::default();
    let complete = datagrams
        .iter()
        .find_map(|bytes| match postcard::from_bytes(bytes) {
            Ok(Message::Fragment(fragment)) => reassembler.add(Time(1), from, fragment),
            _ => panic!("not a fragment"),
        });
    assert_eq!(complete, Some(message));
}

/// Guards against fragments of messages that need none.
#[test]
fn short_message_is_one_datagram() {
    assert_eq!(to_datagrams(vec![7; 100]), Some(vec![vec![7; 100]]));
    assert_eq!(to_datagrams(vec![7; 60_000_000]), None);
}
