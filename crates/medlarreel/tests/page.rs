//! Status page: completeness, escaping and self-containment.

use medlarreel::operators::Status;
use medlarreel::operators::api::AuditEntry;
use medlarreel::operators::page::render;
use medlarreel::operators::status::{
    ActivePreset, ControlHolder, Health, LeaseState, Member, RankCounts, Service, ShardCount,
    Upstream,
};
use medlarreel_core::preset::Rank;

fn member(domain: &str, peers: &str, heard: bool) -> Member {
    Member {
        instance: 7,
        domain: domain.into(),
        peers: peers.into(),
        heard,
    }
}

fn upstream(name: &str, health: Health, lease: LeaseState) -> Upstream {
    Upstream {
        name: name.into(),
        service: "intake".into(),
        domain: "loft-a".into(),
        address: "127.0.0.1:8001".into(),
        dispatcher: Some("127.0.0.1:7001".into()),
        in_flight: 5,
        waiting: 3,
        allowance: 6,
        health,
        lease,
        lease_left_ms: Some(640),
    }
}

fn entry(offset: u64, subject: &str) -> AuditEntry {
    AuditEntry {
        offset,
        subject: subject.into(),
        cause: "join".into(),
        before: "version 1".into(),
        after: "version 2".into(),
    }
}

fn status() -> Status {
    Status {
        instance: 7,
        club: "kashmir".into(),
        domain: "loft-a".into(),
        ready: true,
        next: 42,
        log_reachable: true,
        activations: 3,
        preset: Some(ActivePreset {
            name: "peaks".into(),
            version: 2,
            since: 40,
            budget: 232,
            club_slots: 150,
        }),
        holder: Some(ControlHolder {
            instance: 9,
            peers: "127.0.0.1:7011".into(),
            term: 1,
            round: 4,
        }),
        members: vec![
            member("loft-b", "127.0.0.1:7011", true),
            member("loft-a", "127.0.0.1:7001", false),
        ],
        upstreams: vec![upstream("intake-1", Health::Alive, LeaseState::Held)],
        services: vec![Service {
            name: "intake".into(),
            shards: 1024,
            unowned: 12,
            owners: vec![ShardCount {
                upstream: "intake-1".into(),
                shards: 1012,
            }],
        }],
        ranks: Rank::ALL.map(RankCounts::zero).into(),
        audit: (0..60)
            .map(|offset| entry(offset, "plan of intake"))
            .collect(),
    }
}

/// Guards against a page that omits a part of the status.
#[test]
fn the_page_shows_every_part_of_the_status() {
    let page = render(&status());

    let expected = [
        "peaks version 2, since offset 40, activation 3",
        "150 of 232 slots",
        "9 at 127.0.0.1:7011, term 1, round 4",
        "held, 640 ms left",
        "intake-1 1012",
        "<td class=\"n bad\">12</td>",
        "<td class=\"bad\">silent</td>",
        "<td class=\"\">archive</td>",
    ];
    for text in expected {
        assert!(page.contains(text), "{text} is missing");
    }
    let first = page
        .find("127.0.0.1:7001</td><td class=\"\">7")
        .expect("member is shown");
    let second = page
        .find("127.0.0.1:7011</td><td class=\"\">7")
        .expect("member is shown");
    assert!(first < second, "members are grouped by failure domain");
}

/// Guards against names that inject script or load external resources.
#[test]
fn text_is_escaped_and_no_external_resource_is_loaded() {
    let malicious = "\"><script src='http://x'>&";
    let mut status = status();
    status.club = malicious.into();
    status.domain = malicious.into();
    status.members = vec![member(malicious, malicious, true)];
    status.upstreams = vec![upstream(malicious, Health::Dead, LeaseState::Lapsed)];
    status.upstreams[0].dispatcher = Some(malicious.into());
    status.services[0].owners[0].upstream = malicious.into();
    status.ranks[0].rank = malicious.into();
    status.audit = vec![entry(1, malicious)];

    let page = render(&status);

    assert!(!page.contains("<script"));
    assert!(!page.contains("'http"));
    assert!(!page.contains(malicious));
    assert!(page.contains("&quot;&gt;&lt;script src=&#39;http://x&#39;&gt;&amp;"));
    for loader in [" src=", " href=", "url(", "@import"] {
        let tags = page.split('<').filter_map(|part| part.split('>').next());
        assert!(tags.clone().all(|tag| !tag.contains(loader)), "{loader}");
    }
}

/// Guards against a page that grows without bound with the audit trail or the fleet.
#[test]
fn long_lists_are_cut_and_say_so() {
    let mut status = status();
    let repeated = upstream("intake-1", Health::Alive, LeaseState::Held);
    status.upstreams = vec![repeated; 14_000];

    let page = render(&status);

    assert!(page.contains("Upstreams (500 of 14000)"));
    assert_eq!(page.matches("plan of intake").count(), 50);
    assert!(page.contains("<td class=\"n\">59</td>") && !page.contains("<td class=\"n\">9</td>"));
}

/// Guards against a page that does not highlight missing state.
#[test]
fn missing_state_is_marked() {
    let mut status = status();
    status.preset = None;
    status.holder = None;
    status.ready = false;
    status.log_reachable = false;

    let page = render(&status);

    for word in ["none", "unknown", "no", "unreachable"] {
        assert!(
            page.contains(&format!("<td class=\"bad\">{word}</td>")),
            "{word}"
        );
    }
}

/// Guards against a status that is altered by encoding and decoding as JSON.
#[test]
fn the_status_survives_its_json_form() {
    let status = status();
    let text = serde_json::to_string(&status).expect("status can be written");
    assert_eq!(
        serde_json::from_str::<Status>(&text).expect("status can be read"),
        status
    );
}
