//! Messages in pieces: order, losses, bounds.

use medlarreel_core::entry::fragments::{Fragment, Reassembler, split_message};

use crate::fixture::{address, at};

fn message() -> Vec<u8> {
    (0..=255).cycle().take(1_000).collect()
}

/// Guards against a message that depends on the order in which its pieces come.
#[test]
fn pieces_come_in_any_order_and_twice() {
    let mut assembly = Reassembler::default();
    let mut pieces = split_message(1, &message(), 300).unwrap();
    pieces.reverse();
    let again = pieces[0].clone();
    pieces.insert(1, again);

    let results: Vec<_> = pieces
        .into_iter()
        .map(|piece| assembly.add(at(0), address(1), piece))
        .collect();

    assert_eq!(results, [None, None, None, None, Some(message())]);
}

/// Guards against a message that is put together from those of two senders, or from
/// an earlier message and a later one.
#[test]
fn messages_are_kept_apart() {
    let mut assembly = Reassembler::default();
    let [first, second]: [Fragment; 2] = split_message(1, &message(), 500)
        .unwrap()
        .try_into()
        .unwrap();
    let later = Fragment {
        message: 2,
        ..second.clone()
    };

    assembly.add(at(0), address(1), first);

    assert_eq!(assembly.add(at(0), address(2), second.clone()), None);
    assert_eq!(assembly.add(at(0), address(1), later), None);
    assert_eq!(assembly.add(at(0), address(1), second), Some(message()));
}

/// Guards against pieces that stay in memory when the others are lost, and against
/// a sender that claims endless messages.
#[test]
fn incomplete_messages_are_bounded() {
    let mut assembly = Reassembler::default();
    let pieces = |id| split_message(id, &message(), 500).unwrap();
    for id in 0..100 {
        assembly.add(at(0), address(1), pieces(id).remove(0));
    }

    let refused = assembly.add(at(0), address(1), pieces(99).remove(1));
    let outdated = assembly.add(at(3_000), address(1), pieces(1).remove(1));
    let huge = Fragment {
        message: 500,
        index: 0,
        count: u16::MAX,
        bytes: Vec::new(),
    };

    assert_eq!(refused, None);
    assert_eq!(outdated, None);
    assert_eq!(assembly.add(at(3_000), address(1), huge), None);
    assert_eq!(split_message(1, &vec![0; 100_000], 1_000), None);
}
