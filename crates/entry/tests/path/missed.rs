//! Requests for missed records, by an instance inside the test. The test plays the others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_entry::peers::{self, Message};
use medlarreel_entry::reader;
use medlarreel_entry::reader::feed::{Progress, Topic};
use medlarreel_entry::settings::Settings;
use medlarreel_entry::state::{Member, State};
use medlarreel_standin::platform::store;
use medlarreel_standin::server::any_port;
use tokio::net::UdpSocket;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::fixture::{TEST_TIMEOUT, settings_text, wait_until};

/// Interval between the heartbeats that the instance receives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

async fn bind() -> (Rc<UdpSocket>, SocketAddr) {
    let socket = UdpSocket::bind(any_port()).await.unwrap();
    let address = socket.local_addr().unwrap();
    (Rc::new(socket), address)
}

/// Waits for a request for missed records of the configuration topic.
async fn receive_request(socket: &UdpSocket) -> u64 {
    let mut buffer = vec![0; 60_000];
    loop {
        let length = socket.recv(&mut buffer).await.unwrap();
        let message = postcard::from_bytes(&buffer[..length]);
        if let Ok(Message::RecordsRequest { topic, from }) = message
            && topic == Topic::Config
        {
            return from;
        }
    }
}

/// Guards against a failure domain that doesn't get a configuration although the leader
/// has it: the relay has missed it as well, and the store turns the domain away.
#[tokio::test]
async fn leader_is_asked_for_records_that_the_relay_does_not_have() {
    let store = store::start(any_port()).await.unwrap();
    store.service().put("keyed.op", "other", b"{}");
    let settings = Settings::parse(&settings_text(&[1, 2, 3, 4], store.address())).unwrap();
    let state = State::new(settings);
    let (socket, address) = bind().await;
    let ((relay, _), (leader, leader_address)) = (bind().await, bind().await);
    let member = Member {
        address: leader_address,
        started: 1,
        cpu_percent: 100,
        domain: "b".into(),
        last_heard: None,
        first_era: Era::FIRST,
    };
    state.add_member("leader".into(), member);

    let tasks = LocalSet::new();
    let requested = tasks.run_until(async {
        spawn_local(reader::follow(state.clone(), Topic::Config, socket.clone()));
        spawn_local(peers::handler::receive(state.clone(), socket));
        wait_until("the topic is loaded", async || {
            state.config_feed.is_loaded()
        })
        .await;
        let known = state.config_feed.progress(state.clock.now()).unwrap();
        store.service().set_unavailable(true);
        let progress = Progress {
            end: known.end + 1,
            age_ms: 0,
            ..known
        };
        let heartbeat = Message::Heartbeat {
            epoch: 1,
            name: "leader".into(),
            store_reachable: true,
            revision: (0, 0),
            progress: vec![(Topic::Config, progress)],
            blocked_digest: 0,
        };
        let passed_on = relay.clone();
        spawn_local(async move {
            loop {
                peers::send(&passed_on, address, &heartbeat).await;
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        let from_relay = timeout(TEST_TIMEOUT, receive_request(&relay)).await;
        let from_leader = timeout(TEST_TIMEOUT, receive_request(&leader)).await;
        (known.end, from_relay, from_leader)
    });
    let (known, from_relay, from_leader) = requested.await;

    assert_eq!(from_relay, Ok(known));
    assert_eq!(from_leader, Ok(known));
}
