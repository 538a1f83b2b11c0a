//! Load balancing for services that are not keyed.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, StatusCode};
use medlarreel::proxy::Refusal;
use medlarreel_core::code::Code;
use medlarreel_core::ids::Upstream;
use medlarreel_standin::server::any_port;
use tokio::net::TcpSocket;

use crate::fixture::*;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against an unreachable upstream staying in service and costing every request a
/// connection attempt.
#[tokio::test]
async fn an_unreachable_upstream_is_ejected() {
    // The port stays bound, so that no other test can listen on it.
    let socket = TcpSocket::new_v4().expect("opens");
    socket.bind(any_port()).expect("binds");
    let unreachable = socket.local_addr().expect("has an address");
    let (address, requests) = scripted_server(&[OK_RESPONSE]).await;
    let test_upstreams =
        [unreachable, address, address].map(|address| local_upstream("workshop", address));
    let app = instance(&test_upstreams, address);
    let service = app.snapshot().state.service_named("workshop");
    let service = service.expect("is in the preset");
    let upstreams = app.load_balancer.upstreams(service).expect("is not keyed");

    let mut sent = 0;
    while !upstreams.is_ejected(Upstream(0)) {
        let response = call(&app, Method::GET, "/workshop/x", &[]).await;
        assert_eq!(
            response.status,
            StatusCode::OK,
            "another upstream serves it: {response:?}"
        );
        sent += 1;
        assert!(sent < 10_000, "the upstream is never ejected");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    let snapshot = app.snapshot();
    let route = snapshot.table.route("workshop").expect("is in the preset");
    for _ in 0..100 {
        let chosen = upstreams.choose(app.clock.now(), &route.upstreams, 3);
        assert!(!chosen.contains(&Upstream(0)), "{chosen:?}");
    }
    assert_eq!(requests.load(Ordering::SeqCst), sent);
}

/// Guards against ejecting more than a third of the upstreams when the fault is in this
/// instance.
#[tokio::test]
async fn at_most_a_third_is_ejected() {
    let (address, _) = scripted_server(&[OK_RESPONSE]).await;
    let test_upstreams = [(); 6].map(|()| local_upstream("workshop", address));
    let app = instance(&test_upstreams, address);
    let snapshot = app.snapshot();
    let route = snapshot.table.route("workshop").expect("is in the preset");
    let upstreams = app
        .load_balancer
        .upstreams(route.service)
        .expect("is not keyed");
    for upstream in &route.upstreams {
        for _ in 0..10 {
            let attempt = upstreams.clone().begin_attempt(app.clock, *upstream);
            attempt.finish(&Err(Refusal::from(Code::Unreachable)));
        }
    }

    let later = app.clock.now() + Duration::from_secs(1);
    let chosen = upstreams.choose(later, &route.upstreams, 6);

    assert_eq!(chosen.len(), 4);
}

/// Guards against new requests going to an upstream that already has many of
/// this instance's requests open.
#[tokio::test]
async fn the_less_loaded_of_two_is_chosen() {
    let (address, _) = scripted_server(&[OK_RESPONSE]).await;
    let test_upstreams = [(); 2].map(|()| local_upstream("workshop", address));
    let app = instance(&test_upstreams, address);
    let snapshot = app.snapshot();
    let route = snapshot.table.route("workshop").expect("is in the preset");
    let upstreams = app
        .load_balancer
        .upstreams(route.service)
        .expect("is not keyed");
    let attempts = (0..5).map(|_| upstreams.clone().begin_attempt(app.clock, Upstream(0)));
    let open: Vec<_> = attempts.collect();

    for _ in 0..100 {
        let chosen = upstreams.choose(app.clock.now(), &route.upstreams, 2);
        assert_eq!(chosen, [Upstream(1), Upstream(0)]);
    }

    // Dropped attempts, for example of a disconnected caller, no longer count as open.
    drop(open);
    let first = |_| upstreams.choose(app.clock.now(), &route.upstreams, 1)[0];
    assert!(
        (0..1_000)
            .map(first)
            .any(|upstream| upstream == Upstream(0))
    );
}
