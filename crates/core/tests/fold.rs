//! Acceptance and rejection of records by the fold.

use medlarreel_core::code::Code;
use medlarreel_core::fold::State;
use medlarreel_core::ids::{Ballot, Instance, Offset, Proposal, Service, Upstream};
use medlarreel_core::preset::Fencing;
use medlarreel_core::record::{Author, Body, Member, Record, ShardChange, UpstreamSpec};

/// Applies bodies at consecutive offsets.
#[derive(Default)]
struct Stream {
    state: State,
    proposals: u64,
}

impl Stream {
    fn apply(&mut self, body: Body) -> Result<(), Code> {
        self.proposals += 1;
        let proposal = Proposal(self.proposals);
        self.state
            .apply(self.state.next_offset(), Record { proposal, body })
    }

    fn author(&self, club: &str, round: u32) -> Author {
        let key = self.state.club_named(club).unwrap();
        let term = self.state.club(key).term;
        let instance = Instance(u64::from(round));
        Author {
            club: club.into(),
            ballot: Ballot {
                term,
                round,
                instance,
            },
        }
    }

    fn club_limits(&self) -> [u32; 2] {
        ["kashmir", "souss"].map(|name| {
            let key = self.state.club_named(name).unwrap();
            self.state.club_limit(key)
        })
    }
}

fn preset_text(name: &str, shares: [u8; 2], isolation: &str, shards: u16) -> String {
    format!(
        "[preset]\nname = {name}\nbudget = 100 slots\n\
         [club kashmir]\nshare = {} %\n[club souss]\nshare = {} %\n\
         [service intake]\nclub = kashmir\nkeyed = yes\nshards = {shards}\nslots = 6 slots\n\
         connections = 100\nfencing = checked\nisolation = {isolation}\n\
         [rank status]\ndeadline = 1 s\n[rank order]\ndeadline = 1 s\n\
         [rank archive]\ndeadline = 1 s\n",
        shares[0], shares[1]
    )
}

fn publish_body(name: &str, expected: u32, shares: [u8; 2], isolation: &str) -> Body {
    let text = preset_text(name, shares, isolation, 8);
    Body::Publish {
        name: name.into(),
        expected,
        text,
    }
}

fn activate_body(name: &str, expected: u32) -> Body {
    Body::Activate {
        name: name.into(),
        version: 1,
        expected,
    }
}

fn member(id: u64, club: &str) -> Member {
    Member {
        instance: Instance(id),
        club: club.into(),
        domain: "a".into(),
        peers: ([127, 0, 0, 1], 9000).into(),
    }
}

fn reset_body(club: &str, expected: Offset) -> Body {
    Body::Reset {
        club: club.into(),
        expected,
        voter: member(1, club),
    }
}

fn upstream_spec(name: &str) -> UpstreamSpec {
    UpstreamSpec {
        name: name.into(),
        service: "intake".into(),
        domain: "a".into(),
        address: ([127, 0, 0, 1], 8000).into(),
        fencing: Fencing::Checked,
        weight: 6,
    }
}

/// Two clubs, and a preset in force that divides the budget 60 to 40 between them.
fn two_clubs() -> Stream {
    let mut stream = Stream::default();
    stream
        .apply(publish_body("ordinary", 0, [60, 40], "lapse"))
        .unwrap();
    stream.apply(activate_body("ordinary", 0)).unwrap();
    stream.apply(reset_body("kashmir", Offset(0))).unwrap();
    stream.apply(reset_body("souss", Offset(0))).unwrap();
    stream
}

/// Guards against two operators who both change presets from the same version.
#[test]
fn one_of_two_racing_presets_wins() {
    let mut stream = two_clubs();
    let first = stream.apply(publish_body("peaks", 0, [50, 50], "lapse"));
    let second = stream.apply(publish_body("peaks", 0, [90, 10], "lapse"));
    assert_eq!((first, second), (Ok(()), Err(Code::VersionConflict)));
    let first = stream.apply(activate_body("peaks", 1));
    let second = stream.apply(activate_body("ordinary", 1));
    assert_eq!((first, second), (Ok(()), Err(Code::VersionConflict)));
    assert_eq!(stream.state.active_preset().unwrap().preset.name, "peaks");
}

/// Guards against a record that is appended twice because its response was lost. The
/// second append must neither take effect nor hide the outcome of the first.
#[test]
fn a_proposal_appended_twice_keeps_its_first_outcome() {
    let mut stream = two_clubs();
    let record = Record {
        proposal: Proposal(99),
        body: activate_body("ordinary", 1),
    };
    let first = stream
        .state
        .apply(stream.state.next_offset(), record.clone());
    let second = stream.state.apply(stream.state.next_offset(), record);
    assert_eq!((first, second), (Ok(()), Err(Code::VersionConflict)));
    assert_eq!(
        stream
            .state
            .proposal_outcome(Proposal(99))
            .unwrap()
            .rejected,
        None
    );
    assert_eq!(stream.state.active_preset().unwrap().count, 2);
}

/// Guards against records that are read twice or out of order.
#[test]
fn older_offsets_change_nothing() {
    let mut stream = two_clubs();
    let before = stream.state.clone();
    let record = Record {
        proposal: Proposal(99),
        body: activate_body("ordinary", 1),
    };
    stream.state.apply(Offset(1), record).unwrap();
    assert_eq!(stream.state, before);
}

/// Guards against a paused former holder whose records arrive late.
#[test]
fn lower_ballots_and_older_terms_are_rejected() {
    let mut stream = two_clubs();
    let (old, new) = (stream.author("kashmir", 1), stream.author("kashmir", 2));
    stream.apply(Body::Lead(old.clone())).unwrap();
    stream.apply(Body::Lead(new.clone())).unwrap();
    let late = stream.apply(Body::Enroll(old, vec![upstream_spec("intake-1")]));
    assert_eq!(late, Err(Code::StaleBallot));

    let club = stream.state.club_named("kashmir").unwrap();
    let term = stream.state.club(club).term;
    stream.apply(reset_body("kashmir", term)).unwrap();
    assert_eq!(stream.apply(Body::Lead(new)), Err(Code::StaleBallot));
    assert_eq!(
        stream.apply(reset_body("kashmir", term)),
        Err(Code::VersionConflict)
    );
    assert!(!stream.state.club(club).is_first_term);
}

/// Guards against plans that are based on an outdated version or name unknown
/// upstreams.
#[test]
fn plans_need_the_current_version_and_known_upstreams() {
    let mut stream = two_clubs();
    let author = stream.author("kashmir", 1);
    stream
        .apply(Body::Enroll(
            author.clone(),
            vec![upstream_spec("intake-1")],
        ))
        .unwrap();
    let plan = |owner, expected| Body::Plan {
        author: author.clone(),
        service: Service(0),
        expected,
        changes: vec![ShardChange {
            index: 3,
            owner: Upstream(owner),
            standby: None,
        }],
        cause: "join".into(),
    };
    assert_eq!(stream.apply(plan(7, 0)), Err(Code::UnknownName));
    assert_eq!(stream.apply(plan(0, 0)), Ok(()));
    assert_eq!(stream.apply(plan(0, 0)), Err(Code::VersionConflict));
}

/// Guards against a budget that is overspent while shares move between clubs.
#[test]
fn slots_move_only_after_the_other_club_has_yielded() {
    let mut stream = two_clubs();
    assert_eq!(stream.club_limits(), [60, 40]);
    stream
        .apply(publish_body("peaks", 0, [30, 70], "lapse"))
        .unwrap();
    stream.apply(activate_body("peaks", 1)).unwrap();
    assert_eq!(stream.club_limits(), [30, 40]);

    let author = stream.author("kashmir", 1);
    let early = stream.apply(Body::Yield(author.clone(), 1));
    assert_eq!(early, Err(Code::VersionConflict));
    stream.apply(Body::Yield(author, 2)).unwrap();
    assert_eq!(stream.club_limits(), [30, 70]);
}

/// Guards against overspending when shares change back and forth before a yield.
#[test]
fn reservations_never_exceed_the_budget() {
    let mut stream = two_clubs();
    stream
        .apply(publish_body("peaks", 0, [10, 90], "lapse"))
        .unwrap();
    for count in 1..8 {
        let name = if count % 2 == 1 { "peaks" } else { "ordinary" };
        stream.apply(activate_body(name, count)).unwrap();
        if count == 3 {
            let author = stream.author("kashmir", 1);
            stream.apply(Body::Yield(author, count + 1)).unwrap();
        }
        let reserved: u32 = stream.state.clubs().iter().map(|club| club.reserved).sum();
        assert!(reserved <= 100, "{reserved} slots after activation {count}");
    }
}

/// Guards against presets that map keys to other shards while their old owners hold
/// them, or that let others take keys which an isolated domain keeps.
#[test]
fn presets_that_change_shard_counts_or_drop_keep_are_rejected() {
    let mut stream = two_clubs();
    let text = preset_text("other", [60, 40], "lapse", 16);
    let more = Body::Publish {
        name: "other".into(),
        expected: 0,
        text,
    };
    assert_eq!(stream.apply(more), Err(Code::InvalidPreset));
    stream
        .apply(publish_body("careful", 0, [60, 40], "keep"))
        .unwrap();
    stream.apply(activate_body("careful", 1)).unwrap();
    assert_eq!(
        stream.apply(activate_body("ordinary", 2)),
        Err(Code::InvalidPreset)
    );
    assert_eq!(stream.state.active_preset().unwrap().preset.name, "careful");
}
