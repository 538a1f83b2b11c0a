//! Fragmentation: reordering, loss and limits.

use medlarreel_core::entry::fragments::{Fragment, Reassembler, split_message};

use crate::fixture::{address, at};

fn message() -> Vec<u8> {
    (0..=255).cycle().take(1_000).collect()
}

/// Guards against a message whose contents depend on the order of arrival of its
/// fragments.
#[test]
fn fragments_may_be_reordered_and_duplicated() {
    let mut reassembler = Reassembler::default();
    let mut fragments = split_message(1, &message(), 300).unwrap();
    fragments.reverse();
    let duplicate = fragments[0].clone();
    fragments.insert(1, duplicate);

    let results: Vec<_> = fragments
        .into_iter()
        .map(|fragment| reassembler.add(at(0), address(1), fragment))
        .collect();

    assert_eq!(results, [None, None, None, None, Some(message())]);
}

/// Guards against a message reassembled from fragments of two senders, or of two
/// messages of one sender.
#[test]
fn fragments_of_different_messages_are_not_mixed() {
    let mut reassembler = Reassembler::default();
    let [first, second]: [Fragment; 2] = split_message(1, &message(), 500)
        .unwrap()
        .try_into()
        .unwrap();
    let later = Fragment {
        message_id: 2,
        ..second.clone()
    };

    reassembler.add(at(0), address(1), first);

    assert_eq!(reassembler.add(at(0), address(2), second.clone()), None);
    assert_eq!(reassembler.add(at(0), address(1), later), None);
    assert_eq!(reassembler.add(at(0), address(1), second), Some(message()));
}

/// Guards against fragments that stay in memory after the rest of their message is
/// lost, and against a sender that starts an unlimited number of messages.
#[test]
fn incomplete_messages_are_bounded() {
    let mut reassembler = Reassembler::default();
    let fragments = |id| split_message(id, &message(), 500).unwrap();
    for id in 0..100 {
        reassembler.add(at(0), address(1), fragments(id).remove(0));
    }

    let held = reassembler.held_bytes();
    let rejected = reassembler.add(at(0), address(1), fragments(99).remove(1));
    let expired = reassembler.add(at(3_000), address(1), fragments(1).remove(1));
    let oversized = Fragment {
        message_id: 500,
        index: 0,
        count: u16::MAX,
        bytes: Vec::new(),
    };

    assert_eq!(held, 8 * 500);
    assert_eq!(rejected, None);
    assert_eq!(expired, None);
    assert_eq!(reassembler.add(at(3_000), address(1), oversized), None);
    assert_eq!(split_message(1, &vec![0; 100_000], 1_000), None);
}
