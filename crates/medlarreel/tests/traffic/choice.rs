//! Choice of upstream for services that are not keyed.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, StatusCode};
use medlarreel::proxy::Refusal;
use medlarreel_core::code::Code;
use medlarreel_core::ids::Upstream;
use medlarreel_standin::server::any_port;
use tokio::net::TcpSocket;

use crate::fixture::*;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against an upstream that cannot be connected to staying in service
/// and taking a connection attempt of every request.
#[tokio::test]
async fn an_unreachable_upstream_is_ejected() {
    // The port stays bound, so that no other test can listen on it.
    let closed = TcpSocket::new_v4().expect("opens");
    closed.bind(any_port()).expect("binds");
    let nowhere = closed.local_addr().expect("has an address");
    let (address, requests) = speaker(&[OK]).await;
    let places = [nowhere, address, address].map(|address| place("workshop", address));
    let app = instance(&places, address);
    let service = app.snapshot().state.service_named("workshop");
    let service = service.expect("is in the preset");
    let members = app.load_balancer.upstreams(service).expect("is not keyed");

    let mut sent = 0;
    while !members.is_ejected(Upstream(0)) {
        let answer = call(&app, Method::GET, "/workshop/x", &[]).await;
        assert_eq!(answer.status, StatusCode::OK, "others serve it: {answer:?}");
        sent += 1;
        assert!(sent < 10_000, "the upstream is never ejected");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    let all = app.snapshot();
    let route = all.table.route("workshop").expect("is in the preset");
    for _ in 0..100 {
        let chosen = members.choose(app.clock.now(), &route.upstreams, 3);
        assert!(!chosen.contains(&Upstream(0)), "{chosen:?}");
    }
    assert_eq!(requests.load(Ordering::SeqCst), sent);
}

/// Guards against more upstreams being taken out than a third, when the fault
/// is on this side.
#[tokio::test]
async fn at_most_a_third_is_ejected() {
    let (address, _) = speaker(&[OK]).await;
    let places = [(); 6].map(|()| place("workshop", address));
    let app = instance(&places, address);
    let snapshot = app.snapshot();
    let route = snapshot.table.route("workshop").expect("is in the preset");
    let members = app
        .load_balancer
        .upstreams(route.service)
        .expect("is not keyed");
    for upstream in &route.upstreams {
        for _ in 0..10 {
            let trial = members.clone().begin_attempt(app.clock, *upstream);
            trial.finish(&Err(Refusal::from(Code::Unreachable)));
        }
    }

    let later = app.clock.now() + Duration::from_secs(1);
    let chosen = members.choose(later, &route.upstreams, 6);

    assert_eq!(chosen.len(), 4);
}

/// Guards against new requests going to an upstream that already has many of
/// this instance's requests open.
#[tokio::test]
async fn the_less_busy_of_two_is_chosen() {
    let (address, _) = speaker(&[OK]).await;
    let places = [(); 2].map(|()| place("workshop", address));
    let app = instance(&places, address);
    let snapshot = app.snapshot();
    let route = snapshot.table.route("workshop").expect("is in the preset");
    let members = app
        .load_balancer
        .upstreams(route.service)
        .expect("is not keyed");
    let trials = (0..5).map(|_| members.clone().begin_attempt(app.clock, Upstream(0)));
    let open: Vec<_> = trials.collect();

    for _ in 0..100 {
        let chosen = members.choose(app.clock.now(), &route.upstreams, 2);
        assert_eq!(chosen, [Upstream(1), Upstream(0)]);
    }

    // Trials that are dropped, as when the caller leaves, count no longer.
    drop(open);
    let first = |_| members.choose(app.clock.now(), &route.upstreams, 1)[0];
    assert!(
        (0..1_000)
            .map(first)
            .any(|upstream| upstream == Upstream(0))
    );
}
