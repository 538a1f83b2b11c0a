//! Encoded sizes of messages and records.

use std::time::Duration;

use medlarreel_core::ids::{Epoch, Instance, Offset, Proposal, Service, Shard, Upstream, Version};
use medlarreel_core::preset::{Fencing, Isolation};
use medlarreel_core::record::{Author, Body, Chunk, Record, ReleaseTarget};
use medlarreel_core::wire::{
    Assignment, Frame, Lease, Message, Report, UpstreamObservation, VoteRequest, VoteResponse,
};

use super::fold::{author, member, plan_body, upstream_spec};
use super::table::Table;

/// Bytes that a frame adds to the encoded structure: version byte and authentication tag.
const FRAME_OVERHEAD_BYTES: usize = 1 + 32;

/// Stands for random ids; a small integer would encode shorter than a real id.
pub(super) const LARGE_VALUE: u64 = 0x0FED_CBA9_8765_4321;

/// Sizes of messages; messages with lists are measured at several lengths.
pub fn messages() -> Vec<Table> {
    let title = "wire messages, bytes of the frame with version byte and 32-byte tag";
    let mut table = Table::new(title, &["message", "entries", "bytes"]);
    for (name, message) in fixed_messages() {
        table.add_row(vec![
            name.to_owned(),
            "-".to_owned(),
            frame_size(message).to_string(),
        ]);
    }
    for shards in [1, 10, 100, 1_000] {
        let size = frame_size(Message::Assign(assignment(shards)));
        table.add_row(vec![
            "Assign".to_owned(),
            format!("{shards} shards"),
            size.to_string(),
        ]);
    }
    for upstreams in [0, 1, 8, 32] {
        let size = frame_size(Message::Report(report(upstreams)));
        table.add_row(vec![
            "Report".to_owned(),
            format!("{upstreams} upstreams"),
            size.to_string(),
        ]);
    }
    vec![table]
}

/// Sizes of all records; records with lists are measured at several lengths.
pub fn records() -> Vec<Table> {
    let mut table = Table::new("records, bytes", &["record", "entries", "bytes"]);
    let mut add = |name: &str, entries: &str, body: Body| {
        let proposal = Proposal(LARGE_VALUE);
        let size = Record { proposal, body }.encode().len();
        table.add_row(vec![name.to_owned(), entries.to_owned(), size.to_string()]);
    };
    for size in [1_000, 10_000] {
        let (name, text) = ("ordinary".to_owned(), "x".repeat(size));
        let publish = Body::Publish {
            name,
            expected: 7,
            text,
        };
        add("Publish", &format!("{size} B of text"), publish);
    }
    let name = "ordinary".to_owned();
    add(
        "Activate",
        "-",
        Body::Activate {
            name,
            version: 8,
            expected: 500,
        },
    );
    add(
        "Release",
        "-",
        Body::Release(ReleaseTarget::Upstream("intake-14".to_owned())),
    );
    let (club, expected) = ("kashmir".to_owned(), Offset(1_000_000));
    add(
        "Reset",
        "-",
        Body::Reset {
            club,
            expected,
            voter: member(LARGE_VALUE),
        },
    );
    add("Lead", "-", Body::Lead(realistic_author()));
    add(
        "Admit",
        "-",
        Body::Admit(realistic_author(), member(LARGE_VALUE)),
    );
    let (instance, cause) = (Instance(LARGE_VALUE), "silent for 3 s".to_owned());
    add(
        "Remove",
        "-",
        Body::Remove {
            author: realistic_author(),
            instance,
            cause,
        },
    );
    for upstreams in [1, 25, 1_000] {
        let upstream_specs = (0..upstreams)
            .map(|key| upstream_spec(key, "intake"))
            .collect();
        add(
            "Enroll",
            &format!("{upstreams} upstreams"),
            Body::Enroll(realistic_author(), upstream_specs),
        );
    }
    for changes in [1, 69, 1_024, 10_000] {
        add(
            "Plan",
            &format!("{changes} changes"),
            with_realistic_author(plan_body(500, changes)),
        );
    }
    add("Yield", "-", Body::Yield(realistic_author(), 500));
    add("Alive", "-", Body::Alive(realistic_author()));
    let chunk = Chunk {
        end_offset: Offset(1_000_000),
        index: 1,
        count: 2,
        checksum: LARGE_VALUE,
        bytes: vec![0; 65_536].into(),
    };
    add("Checkpoint", "65536 B", Body::Checkpoint(chunk));
    vec![table]
}

pub(super) fn frame_size(message: Message) -> usize {
    let frame = Frame {
        sender: Instance(LARGE_VALUE),
        counter: 1_000_000,
        message,
    };
    let encoded = postcard::to_stdvec(&frame).expect("frames have no unserializable parts");
    encoded.len() + FRAME_OVERHEAD_BYTES
}

/// Ballot of realistic encoded size.
pub(super) fn ballot() -> medlarreel_core::ids::Ballot {
    let mut ballot = author().ballot;
    ballot.term = Offset(1_000_000);
    ballot.instance = Instance(LARGE_VALUE);
    ballot
}

/// Author whose ballot has a realistic encoded size.
fn realistic_author() -> Author {
    let mut author = author();
    author.ballot = ballot();
    author
}

fn with_realistic_author(mut body: Body) -> Body {
    if let Body::Plan { author, .. } = &mut body {
        *author = realistic_author();
    }
    body
}

pub(super) fn version() -> Version {
    Version {
        ballot: ballot(),
        count: 100_000,
    }
}

fn fixed_messages() -> Vec<(&'static str, Message)> {
    let (ballot, nonce, membership) = (ballot(), LARGE_VALUE, 300);
    let request = VoteRequest {
        ballot,
        nonce,
        membership_version: membership,
    };
    let response = VoteResponse {
        ballot,
        nonce,
        granted: true,
        highest_ballot: ballot,
        membership_version: membership,
    };
    let lease_duration = Duration::from_millis(2_400);
    let upstream = Upstream(14_000);
    vec![
        ("VoteRequest", Message::VoteRequest(request)),
        ("VoteResponse", Message::VoteResponse(response)),
        (
            "Lease",
            Message::Lease(Lease {
                ballot,
                nonce,
                duration: lease_duration,
            }),
        ),
        ("Assigned", Message::Assigned(upstream, version())),
        ("Stop", Message::Stop(upstream, version())),
        (
            "Stopped",
            Message::Stopped(upstream, version(), lease_duration),
        ),
        ("ExtensionRequest", Message::ExtensionRequest(nonce, 12)),
        ("ExtensionResponse", Message::ExtensionResponse(nonce, true)),
        (
            "PromiseRequest",
            Message::PromiseRequest(nonce, lease_duration),
        ),
        ("Promise", Message::Promise(nonce)),
        ("Progress", Message::Progress(Offset(1_000_000))),
    ]
}

pub(super) fn assignment(shards: u16) -> Assignment {
    let epoch = Epoch {
        term: Offset(1_000_000),
        round: 20,
        count: 100_000,
    };
    let service = Service(3);
    let shard = |index| (Shard { service, index }, epoch);
    Assignment {
        version: version(),
        upstream: Upstream(14_000),
        incarnation: LARGE_VALUE,
        session: 0,
        fencing: Fencing::Checked,
        isolation: Isolation::Lapse,
        shards: (0..shards).map(shard).collect(),
        allowance: 6,
        primary: Instance(LARGE_VALUE),
        backup: Some(Instance(LARGE_VALUE)),
    }
}

pub(super) fn report(upstreams: u32) -> Report {
    let observation = |key| UpstreamObservation {
        upstream: Upstream(14_000 + key),
        response_age: Some(Duration::from_millis(12)),
        incarnation: LARGE_VALUE,
        version: Some(version()),
        assigned_version: Some(version()),
        allowance: 6,
        in_use: false,
        claims: Vec::new(),
        loads: Vec::new(),
        held_shards: 69,
        draining: false,
        served: 1_200,
        busy_thousandths: 4_100,
    };
    Report {
        member: member(LARGE_VALUE),
        nonce: LARGE_VALUE,
        highest_ballot: ballot(),
        next_offset: Offset(1_000_000),
        leaving: false,
        session: 0,
        outdated_upstreams: 0,
        upstreams: (0..upstreams).map(observation).collect(),
    }
}
