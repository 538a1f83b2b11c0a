//! Tests of frames with invalid, altered and reordered input.

use std::time::Duration;

use hmac::{Hmac, Mac};
use medlarreel_core::code::Code;
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Service, Shard, Upstream, Version};
use medlarreel_core::preset::{Fencing, Isolation};
use medlarreel_core::record::Member;
use medlarreel_core::wire::frame::{
    FRAME_VERSION, Key, MAX_FRAME_BYTES, MAX_SENDERS, REPLAY_WINDOW_FRAMES, ReplayGuard,
};
use medlarreel_core::wire::{Assignment, Frame, Message, Report, VoteRequest};
use proptest::prelude::*;
use sha2::Sha256;

fn key() -> Key {
    Key::new(b"secret", "kashmir")
}

fn ballot() -> Ballot {
    Ballot {
        term: Offset(1),
        round: 2,
        instance: Instance(3),
    }
}

fn assignment(shards: u16) -> Message {
    let epoch = Epoch {
        term: Offset(u64::MAX),
        round: u32::MAX,
        count: u64::MAX,
    };
    let shard = |index| {
        let service = Service(u16::MAX);
        (Shard { service, index }, epoch)
    };
    Message::Assign(Assignment {
        version: Version {
            ballot: ballot(),
            count: 1,
        },
        upstream: Upstream(4),
        incarnation: 5,
        session: 6,
        fencing: Fencing::Checked,
        isolation: Isolation::Lapse,
        shards: (0..shards).map(shard).collect(),
        allowance: 6,
        primary: Instance(7),
        backup: None,
    })
}

fn report() -> Message {
    Message::Report(Report {
        member: Member {
            instance: Instance(1),
            club: "kashmir".to_owned(),
            domain: "a".to_owned(),
            peers: ([127, 0, 0, 1], 1).into(),
        },
        nonce: 2,
        highest_ballot: ballot(),
        next_offset: Offset(3),
        leaving: false,
        session: 4,
        outdated_upstreams: 5,
        upstreams: Vec::new(),
    })
}

fn frame(message: Message) -> Frame {
    Frame {
        sender: Instance(9),
        counter: 10,
        message,
    }
}

fn any_message() -> impl Strategy<Value = Message> {
    let vote_request = |(nonce, membership_version)| {
        Message::VoteRequest(VoteRequest {
            ballot: ballot(),
            nonce,
            membership_version,
        })
    };
    prop_oneof![
        any::<(u64, u32)>().prop_map(vote_request),
        (0..600u16).prop_map(assignment),
        Just(report()),
        any::<(u64, u32)>().prop_map(|(nonce, millis)| Message::PromiseRequest(
            nonce,
            Duration::from_millis(millis.into())
        )),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against a message that encoding and decoding change.
    #[test]
    fn decoding_reverses_encoding(message in any_message()) {
        let frame = frame(message);

        let datagram = frame.encode(&key()).expect("frame fits");

        prop_assert!(datagram.len() <= MAX_FRAME_BYTES);
        prop_assert_eq!(Frame::decode(&key(), &datagram), Ok(frame));
    }

    /// Guards against accepting a frame that was altered in transit.
    #[test]
    fn altered_frames_are_refused(message in any_message(), at: prop::sample::Index, flip in 1..=255u8) {
        let mut datagram = frame(message).encode(&key()).expect("frame fits").to_vec();
        let at = at.index(datagram.len());

        datagram[at] ^= flip;

        let code = if at == 0 { Code::FrameVersion } else { Code::FrameForeign };
        prop_assert_eq!(Frame::decode(&key(), &datagram), Err(code));
    }

    /// Guards against a panic on random or truncated bytes and against accepting them.
    #[test]
    fn random_bytes_are_refused(mut bytes: Vec<u8>, versioned: bool, cut: prop::sample::Index) {
        if versioned {
            bytes.insert(0, FRAME_VERSION);
        }
        let whole = frame(report()).encode(&key()).expect("frame fits");

        prop_assert!(Frame::decode(&key(), &bytes).is_err());
        prop_assert!(Frame::decode(&key(), &whole[..cut.index(whole.len())]).is_err());
    }

    /// Guards against a counter that is accepted twice, or refused although it
    /// is new and within the window.
    #[test]
    fn each_counter_is_accepted_once(base in 0..u64::MAX - 10_000, steps in prop::collection::vec(0..3_000u64, 1..300)) {
        let mut replay = ReplayGuard::new();
        let mut accepted = std::collections::BTreeSet::new();
        for counter in steps.into_iter().map(|step| base + step) {
            let highest = accepted.last().copied().unwrap_or(counter);
            let is_new = !accepted.contains(&counter) && counter + REPLAY_WINDOW_FRAMES > highest;

            let outcome = replay.accept(Instance(1), counter);

            prop_assert_eq!(outcome, if is_new { Ok(()) } else { Err(Code::FrameReplayed) });
            accepted.extend(is_new.then_some(counter));
        }
    }
}

/// Datagram of the body with a valid tag.
fn with_valid_tag(body: &[u8]) -> Vec<u8> {
    let mut datagram = [&[FRAME_VERSION], body].concat();
    let mut mac = Hmac::<Sha256>::new_from_slice(b"secret").expect("any length is valid");
    mac.update(&7u64.to_le_bytes());
    mac.update(b"kashmir");
    mac.update(&datagram);
    datagram.extend(mac.finalize().into_bytes());
    datagram
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against a panic on the body of a faulty instance that knows the secret,
    /// and against accepting a frame with trailing bytes.
    #[test]
    fn malformed_bodies_are_refused(message in any_message(), at: prop::sample::Index, byte: u8, extra: Vec<u8>) {
        let mut body = postcard::to_allocvec(&frame(message)).expect("frame is serializable");
        let longer = [body.as_slice(), &[0], &extra].concat();
        let at = at.index(body.len());
        body[at] = byte;

        let altered = Frame::decode(&key(), &with_valid_tag(&body));

        prop_assert!(matches!(altered, Ok(_) | Err(Code::FrameMalformed)));
        prop_assert_eq!(Frame::decode(&key(), &with_valid_tag(&longer)), Err(Code::FrameMalformed));
        prop_assert!(matches!(Frame::decode(&key(), &with_valid_tag(&extra)), Ok(_) | Err(Code::FrameMalformed)));
    }
}

/// Guards against accepting a frame of another cluster or club.
#[test]
fn foreign_frames_are_refused() {
    let datagram = frame(report()).encode(&key()).expect("frame fits");

    let cluster = Frame::decode(&Key::new(b"other", "kashmir"), &datagram);
    let club = Frame::decode(&Key::new(b"secret", "souss"), &datagram);

    assert_eq!(cluster, Err(Code::FrameForeign));
    assert_eq!(club, Err(Code::FrameForeign));
}

/// Guards against a datagram that exceeds the limit of UDP.
#[test]
fn large_frames_are_refused() {
    let encoded = frame(assignment(u16::MAX)).encode(&key());
    let decoded = Frame::decode(&key(), &vec![FRAME_VERSION; MAX_FRAME_BYTES + 1]);

    assert_eq!(encoded, Err(Code::FrameOversized));
    assert_eq!(decoded, Err(Code::FrameOversized));
}

/// Guards against memory use that grows with the number of restarted processes.
#[test]
fn senders_are_bounded() {
    let mut replay = ReplayGuard::new();

    for sender in 0..2 * MAX_SENDERS as u64 {
        replay.accept(Instance(0), sender).expect("counter is new");
        replay
            .accept(Instance(sender + 1), 1)
            .expect("sender is new");
    }

    assert_eq!(replay.sender_count(), MAX_SENDERS);
    assert_eq!(replay.accept(Instance(0), 1_500), Err(Code::FrameReplayed));
}
