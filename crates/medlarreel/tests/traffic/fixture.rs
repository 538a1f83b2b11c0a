//! Test fixture: the traffic state of one instance, without a control thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use medlarreel::app::{App, Snapshot};
use medlarreel::clock::Clock;
use medlarreel::dispatch::{BufferedResponse, Lane, Permit, Pool};
use medlarreel::proxy::{self, RequestHead};
use medlarreel_core::admission::Limits;
use medlarreel_core::fold::State;
use medlarreel_core::ids::{Ballot, Epoch, Instance, Offset, Proposal, Upstream};
use medlarreel_core::preset::Fencing;
use medlarreel_core::record::{Author, Body, Member, Record, ShardChange, UpstreamSpec};
use medlarreel_core::route::RoutingTable;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for an expected event, with a margin for a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The instance under test.
pub const ME: Instance = Instance(1);

/// Another instance of the club, in another failure domain.
pub const OTHER: Instance = Instance(2);

const PRESET: &str = include_str!("../../../../scripts/local-preset.ini");
const CLUB: &str = "kashmir";
const SHARDS: u16 = 64;

/// An upstream known to the instance under test.
pub struct TestUpstream {
    /// Service that it runs.
    pub service: &'static str,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Instance that dispatches to it.
    pub dispatcher: Instance,
}

/// Upstream of `service` to which the instance under test dispatches.
pub fn local_upstream(service: &'static str, address: SocketAddr) -> TestUpstream {
    TestUpstream {
        service,
        address,
        dispatcher: ME,
    }
}

fn domain(instance: Instance) -> String {
    format!("domain-{}", instance.0)
}

/// Replicated state with these upstreams. For the keyed service, the first one owns all
/// shards.
fn state(upstreams: &[TestUpstream], peers: SocketAddr) -> State {
    let mut state = State::default();
    let ballot = Ballot {
        term: Offset(0),
        round: 1,
        instance: ME,
    };
    let author = Author {
        club: CLUB.to_owned(),
        ballot,
    };
    let member = |instance| Member {
        instance,
        club: CLUB.to_owned(),
        domain: domain(instance),
        peers,
    };
    let specs = upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| UpstreamSpec {
            name: format!("upstream-{index}"),
            service: upstream.service.to_owned(),
            domain: domain(upstream.dispatcher),
            address: upstream.address,
            fencing: Fencing::Checked,
            weight: 6,
        });
    let reset = Body::Reset {
        club: CLUB.to_owned(),
        expected: Offset(0),
        voter: member(ME),
    };
    let publish = Body::Publish {
        name: "local".to_owned(),
        expected: 0,
        text: PRESET.to_owned(),
    };
    let activate = Body::Activate {
        name: "local".to_owned(),
        version: 1,
        expected: 0,
    };
    apply(&mut state, publish);
    apply(&mut state, activate);
    apply(&mut state, reset);
    let term = state.next_offset();
    let author = Author {
        ballot: Ballot {
            term,
            ..author.ballot
        },
        ..author
    };
    apply(&mut state, Body::Lead(author.clone()));
    apply(&mut state, Body::Admit(author.clone(), member(OTHER)));
    apply(&mut state, Body::Enroll(author, specs.collect()));
    if upstreams[0].service == "intake" {
        let all: Vec<_> = (0..SHARDS).collect();
        let standby = upstreams
            .get(1)
            .filter(|upstream| upstream.service == "intake");
        let standby = standby.map(|_| Upstream(1));
        assign_shards(&mut state, &all, Upstream(0), standby);
    }
    state
}

/// Assigns shards of the keyed service to an upstream.
pub fn move_shards(state: &mut State, shards: &[u16], owner: Upstream) {
    assign_shards(state, shards, owner, None);
}

fn assign_shards(state: &mut State, shards: &[u16], owner: Upstream, standby: Option<Upstream>) {
    let service = state.service_named("intake").expect("is in the preset");
    let expected = state.service(service).plan.version;
    let club = state.club_named(CLUB).expect("is in the preset");
    let ballot = state.club(club).highest_ballot.expect("has a holder");
    let author = Author {
        club: CLUB.to_owned(),
        ballot,
    };
    let changes = shards.iter().map(|index| ShardChange {
        index: *index,
        owner,
        standby,
    });
    let plan = Body::Plan {
        author,
        service,
        expected,
        changes: changes.collect(),
        cause: "test".to_owned(),
    };
    apply(state, plan);
}

fn apply(state: &mut State, body: Body) {
    let offset = state.next_offset();
    let proposal = Proposal(offset.0 + 1);
    let outcome = state.apply(offset, Record { proposal, body });
    assert_eq!(outcome, Ok(()), "the fixture's records are valid");
}

/// Epoch with the given counter.
pub fn epoch(count: u64) -> Epoch {
    Epoch {
        term: Offset(1),
        round: 1,
        count,
    }
}

/// Permit for all shards under one epoch.
pub fn permit(clock: Clock, count: u64) -> Permit {
    let shards = (0..SHARDS).map(|index| (index, epoch(count)));
    Permit {
        until: clock.now() + Duration::from_secs(600),
        shards: shards.collect(),
        slots: 6,
        exclusive: true,
    }
}

/// Queue limits with the given number of slots.
pub fn limits(slots: u16) -> Limits {
    Limits {
        max_waiting: 100,
        slots,
        floor_percents: [0; 3],
        weights: Vec::new(),
    }
}

/// Lane with a permit to the upstream at the address.
pub fn lane(clock: Clock, address: SocketAddr) -> Arc<Lane> {
    let lane = Lane::new(Pool::new(address, 10), limits(6));
    lane.update_permit(clock.now(), permit(clock, 1), limits(6));
    Arc::new(lane)
}

/// Instance with lanes to its upstreams and with one peer.
pub fn instance(upstreams: &[TestUpstream], peer: SocketAddr) -> Arc<App> {
    let clock = Clock::start();
    let token = HeaderValue::from_static("token");
    let app = App::new(ME, CLUB.into(), domain(ME), clock, token, 100);
    let state = Arc::new(state(upstreams, peer));
    let local = upstreams.iter().enumerate();
    let local = local.filter(|(_, upstream)| upstream.dispatcher == ME);
    let lanes =
        local.map(|(index, upstream)| (Upstream(index as u32), lane(clock, upstream.address)));
    app.publish(Snapshot {
        established: true,
        log_reachable: true,
        holder: Some(ME),
        table: RoutingTable::new(&state),
        lanes: lanes.collect(),
        peers: HashMap::from([(OTHER, Arc::new(Pool::new(peer, 10)))]),
        state,
    });
    Arc::new(app)
}

/// Sends a caller's request through the instance.
pub async fn call(
    app: &Arc<App>,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
) -> BufferedResponse {
    call_with_body(app, method, path, headers, Bytes::new()).await
}

/// Like `call`, with a body.
pub async fn call_with_body(
    app: &Arc<App>,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> BufferedResponse {
    let fields = headers.iter().map(|(name, value)| {
        let value = HeaderValue::from_str(value).expect("is a valid value");
        (HeaderName::from_static(name), value)
    });
    let headers: HeaderMap = fields.collect();
    let head = RequestHead {
        method: &method,
        path,
        headers: &headers,
    };
    proxy::serve(app, head, body).await
}

/// Code and outcome in the headers of a response; empty if it has none.
pub fn code_and_outcome(response: &BufferedResponse) -> (&str, &str) {
    let text = |name| {
        let value = response.headers.get(name);
        value.map_or("", |value: &HeaderValue| value.to_str().expect("is text"))
    };
    (text("medlar-code"), text("medlar-outcome"))
}

/// Starts a server that responds with the given texts in order, one per request, and
/// repeats the last one. It closes the connection after each response, so an empty text
/// results in a lost response. Returns its address and the number of requests so far.
pub async fn scripted_server(texts: &'static [&'static str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                if read_head(&mut stream).await.is_some() {
                    let index = counter.fetch_add(1, Ordering::SeqCst);
                    let text = texts[index.min(texts.len() - 1)];
                    stream.write_all(text.as_bytes()).await.ok();
                }
            });
        }
    });
    (address, requests)
}

/// Reads the head of a request; `None` at the end of the stream.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(head).ok()
}

/// Waits until a condition holds; panics if it does not within `TEST_TIMEOUT`.
pub async fn eventually(mut holds: impl FnMut() -> bool) {
    let poll = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, poll)
        .await
        .expect("the condition holds in time");
}
