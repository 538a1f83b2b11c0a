//! The list's contract and its faults.

mod support;

use std::time::Duration;

use medlarreel_standin::client::ClientRequest;
use medlarreel_standin::list::{InstanceList, start};
use medlarreel_standin::server::{Server, any_port};
use serde_json::{Value, json};
use support::{expect_silence, faults, fetch, send};

async fn list(lag: Duration) -> Server<InstanceList> {
    start(any_port(), lag).await.expect("the list starts")
}

fn entry(name: &str) -> Value {
    json!({"name": name, "service": "intake", "domain": "a", "address": "127.0.0.1:1",
           "state": "live", "fencing": "checked", "weight": 2})
}

async fn set(list: &Server<InstanceList>, names: &[&str]) {
    let entries: Vec<_> = names.iter().map(|name| entry(name)).collect();
    let ask = ClientRequest::post_json("/admin/instances", &json!({ "instances": entries }));
    assert_eq!(send(list.address(), ask).await.status, 200);
}

async fn shown(list: &Server<InstanceList>) -> Value {
    fetch(list.address(), ClientRequest::get("/instances")).await["instances"].take()
}

/// Guards against entries that lose a field on the way through the list.
#[tokio::test]
async fn entries_are_answered_as_they_were_set() {
    let list = list(Duration::ZERO).await;

    set(&list, &["one", "two"]).await;

    assert_eq!(shown(&list).await, json!([entry("one"), entry("two")]));
}

/// Guards against a change of state that reaches the wrong entry or none.
#[tokio::test]
async fn one_entry_changes_its_state() {
    let list = list(Duration::ZERO).await;
    set(&list, &["one", "two"]).await;

    let leave =
        |name| ClientRequest::post_json("/admin/state", &json!({"name": name, "state": "leaving"}));
    assert_eq!(send(list.address(), leave("two")).await.status, 200);

    let states = shown(&list).await;
    assert_eq!(
        (&states[0]["state"], &states[1]["state"]),
        (&json!("live"), &json!("leaving"))
    );
    assert_eq!(send(list.address(), leave("three")).await.status, 404);
}

/// Guards against a lag that shows new entries early or never shows them.
#[tokio::test]
async fn a_lagging_list_shows_the_entries_of_that_time_ago() {
    let list = list(Duration::from_secs(3_600)).await;
    set(&list, &["one"]).await;
    assert_eq!(shown(&list).await, json!([]));

    faults(list.address(), json!({"lag_ms": 50})).await;
    tokio::time::sleep(Duration::from_millis(50)).await;

    assert_eq!(shown(&list).await, json!([entry("one")]));
}

/// Guards against an outage that is set and not shown.
#[tokio::test]
async fn an_unavailable_list_refuses_or_hangs() {
    let list = list(Duration::ZERO).await;

    faults(list.address(), json!({"unavailable": "refuse"})).await;
    assert_eq!(
        send(list.address(), ClientRequest::get("/instances"))
            .await
            .status,
        503
    );

    faults(list.address(), json!({"unavailable": "hang"})).await;
    expect_silence(list.address(), ClientRequest::get("/instances")).await;

    faults(list.address(), json!({"unavailable": "no"})).await;
    assert_eq!(
        send(list.address(), ClientRequest::get("/instances"))
            .await
            .status,
        200
    );
}
