//! Encoded sizes of messages and records.

use std::time::Duration;

use medlarreel_core::ids::{Epoch, Instance, Offset, Proposal, Service, Shard, Upstream, Version};
use medlarreel_core::preset::{Fencing, Isolation};
use medlarreel_core::record::{Author, Body, Chunk, Record, ReleaseTarget};
use medlarreel_core::wire::{
    Assignment, Frame, Lease, Message, Report, UpstreamObservation, VoteRequest, VoteResponse,
};

use super::fold::{author, member, plan, server};
use super::table::Table;

/// Bytes that the frame adds to the encoded structure: version byte and tag.
const FRAME_EXTRA: usize = 1 + 32;

/// Large values, because small integers encode shorter than real ones.
pub(super) const BIG: u64 = 0x0FED_CBA9_8765_4321;

/// Sizes of all messages; those with lists at several lengths.
pub fn messages() -> Vec<Table> {
    let title = "wire messages, bytes of the frame with version byte and 32-byte tag";
    let mut table = Table::new(title, &["message", "entries", "bytes"]);
    for (name, message) in fixed_messages() {
        table.row(vec![
            name.to_owned(),
            "-".to_owned(),
            frame_size(message).to_string(),
        ]);
    }
    for shards in [1, 10, 100, 1_000] {
        let size = frame_size(Message::Assign(assignment(shards)));
        table.row(vec![
            "Assign".to_owned(),
            format!("{shards} shards"),
            size.to_string(),
        ]);
    }
    for upstreams in [0, 1, 8, 32] {
        let size = frame_size(Message::Report(report(upstreams)));
        table.row(vec![
            "Report".to_owned(),
            format!("{upstreams} upstreams"),
            size.to_string(),
        ]);
    }
    vec![table]
}

/// Sizes of all records; those with lists at several lengths.
pub fn records() -> Vec<Table> {
    let mut table = Table::new("records, bytes", &["record", "entries", "bytes"]);
    let mut add = |name: &str, entries: &str, body: Body| {
        let proposal = Proposal(BIG);
        let size = Record { proposal, body }.encode().len();
        table.row(vec![name.to_owned(), entries.to_owned(), size.to_string()]);
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
            voter: member(BIG),
        },
    );
    add("Lead", "-", Body::Lead(holder()));
    add("Admit", "-", Body::Admit(holder(), member(BIG)));
    let (instance, cause) = (Instance(BIG), "silent for 3 s".to_owned());
    add(
        "Remove",
        "-",
        Body::Remove {
            author: holder(),
            instance,
            cause,
        },
    );
    for servers in [1, 25, 1_000] {
        let list = (0..servers).map(|key| server(key, "intake")).collect();
        add(
            "Enroll",
            &format!("{servers} upstreams"),
            Body::Enroll(holder(), list),
        );
    }
    for changes in [1, 69, 1_024, 10_000] {
        add(
            "Plan",
            &format!("{changes} changes"),
            by_holder(plan(500, changes)),
        );
    }
    add("Yield", "-", Body::Yield(holder(), 500));
    add("Alive", "-", Body::Alive(holder()));
    let chunk = Chunk {
        end_offset: Offset(1_000_000),
        index: 1,
        count: 2,
        checksum: BIG,
        bytes: vec![0; 65_536].into(),
    };
    add("Checkpoint", "65536 B", Body::Checkpoint(chunk));
    vec![table]
}

pub(super) fn frame_size(message: Message) -> usize {
    let frame = Frame {
        sender: Instance(BIG),
        counter: 1_000_000,
        message,
    };
    let encoded = postcard::to_stdvec(&frame).expect("frames have no unserializable parts");
    encoded.len() + FRAME_EXTRA
}

pub(super) fn ballot() -> medlarreel_core::ids::Ballot {
    let mut ballot = author().ballot;
    ballot.term = Offset(1_000_000);
    ballot.instance = Instance(BIG);
    ballot
}

/// Author with a ballot of realistic size.
fn holder() -> Author {
    let mut author = author();
    author.ballot = ballot();
    author
}

fn by_holder(mut body: Body) -> Body {
    if let Body::Plan { author, .. } = &mut body {
        *author = holder();
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
    let (ballot, nonce, members) = (ballot(), BIG, 300);
    let ask = VoteRequest {
        ballot,
        nonce,
        membership_version: members,
    };
    let vote = VoteResponse {
        ballot,
        nonce,
        granted: true,
        highest_ballot: ballot,
        membership_version: members,
    };
    let length = Duration::from_millis(2_400);
    let upstream = Upstream(14_000);
    vec![
        ("Ask", Message::VoteRequest(ask)),
        ("Vote", Message::VoteResponse(vote)),
        (
            "Lease",
            Message::Lease(Lease {
                ballot,
                nonce,
                duration: length,
            }),
        ),
        ("Assigned", Message::Assigned(upstream, version())),
        ("Stop", Message::Stop(upstream, version())),
        ("Stopped", Message::Stopped(upstream, version(), length)),
        ("Extend", Message::ExtensionRequest(nonce, 12)),
        ("Extended", Message::ExtensionResponse(nonce, true)),
        ("Withhold", Message::PromiseRequest(nonce, length)),
        ("Withheld", Message::Promise(nonce)),
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
        incarnation: BIG,
        session: 0,
        fencing: Fencing::Checked,
        isolation: Isolation::Lapse,
        shards: (0..shards).map(shard).collect(),
        allowance: 6,
        primary: Instance(BIG),
        backup: Some(Instance(BIG)),
    }
}

pub(super) fn report(upstreams: u32) -> Report {
    let observed = |key| UpstreamObservation {
        upstream: Upstream(14_000 + key),
        response_age: Some(Duration::from_millis(12)),
        incarnation: BIG,
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
        member: member(BIG),
        nonce: BIG,
        highest_ballot: ballot(),
        next_offset: Offset(1_000_000),
        leaving: false,
        session: 0,
        outdated_upstreams: 0,
        upstreams: (0..upstreams).map(observed).collect(),
    }
}
