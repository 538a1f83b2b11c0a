//! Tests of the instance list and its faults.

mod support;

use std::time::Duration;

use medlarreel_standin::client::ClientRequest;
use medlarreel_standin::list::{InstanceList, start};
use medlarreel_standin::server::{Server, any_port};
use serde_json::{Value, json};
use support::{change_faults, expect_no_response, fetch_json, send};

async fn start_list(lag: Duration) -> Server<InstanceList> {
    start(any_port(), lag).await.expect("the list starts")
}

fn instance_entry(name: &str) -> Value {
    json!({"name": name, "service": "intake", "domain": "a", "address": "127.0.0.1:1",
           "state": "live", "fencing": "checked", "weight": 2})
}

async fn set_instances(list: &Server<InstanceList>, names: &[&str]) {
    let entries: Vec<_> = names.iter().map(|name| instance_entry(name)).collect();
    let request = ClientRequest::post_json("/admin/instances", &json!({ "instances": entries }));
    assert_eq!(send(list.address(), request).await.status, 200);
}

async fn listed_instances(list: &Server<InstanceList>) -> Value {
    fetch_json(list.address(), ClientRequest::get("/instances")).await["instances"].take()
}

/// Guards against entries that lose a field when they are stored and returned.
#[tokio::test]
async fn entries_are_returned_as_they_were_set() {
    let list = start_list(Duration::ZERO).await;

    set_instances(&list, &["one", "two"]).await;

    assert_eq!(
        listed_instances(&list).await,
        json!([instance_entry("one"), instance_entry("two")])
    );
}

/// Guards against a state change that is applied to the wrong entry or to none.
#[tokio::test]
async fn a_state_change_affects_only_the_named_entry() {
    let list = start_list(Duration::ZERO).await;
    set_instances(&list, &["one", "two"]).await;

    let leave_request =
        |name| ClientRequest::post_json("/admin/state", &json!({"name": name, "state": "leaving"}));
    assert_eq!(send(list.address(), leave_request("two")).await.status, 200);

    let states = listed_instances(&list).await;
    assert_eq!(
        (&states[0]["state"], &states[1]["state"]),
        (&json!("live"), &json!("leaving"))
    );
    assert_eq!(
        send(list.address(), leave_request("three")).await.status,
        404
    );
}

/// Guards against entries that appear before the lag has passed, or never.
#[tokio::test]
async fn a_lagging_list_returns_the_entries_as_of_lag_ms_ago() {
    let list = start_list(Duration::from_secs(3_600)).await;
    set_instances(&list, &["one"]).await;
    assert_eq!(listed_instances(&list).await, json!([]));

    change_faults(list.address(), json!({"lag_ms": 50})).await;
    tokio::time::sleep(Duration::from_millis(50)).await;

    assert_eq!(
        listed_instances(&list).await,
        json!([instance_entry("one")])
    );
}

/// Guards against an outage that has no effect.
#[tokio::test]
async fn an_unavailable_list_refuses_or_hangs() {
    let list = start_list(Duration::ZERO).await;

    change_faults(list.address(), json!({"unavailable": "refuse"})).await;
    assert_eq!(
        send(list.address(), ClientRequest::get("/instances"))
            .await
            .status,
        503
    );

    change_faults(list.address(), json!({"unavailable": "hang"})).await;
    expect_no_response(list.address(), ClientRequest::get("/instances")).await;

    change_faults(list.address(), json!({"unavailable": "no"})).await;
    assert_eq!(
        send(list.address(), ClientRequest::get("/instances"))
            .await
            .status,
        200
    );
}
