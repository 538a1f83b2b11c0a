//! Tests of the platform's log store: eras, and restores from a backup.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use medlarreel_standin::client::{ClientRequest, ClientResponse};
use medlarreel_standin::platform::store::{Store, start};
use medlarreel_standin::server::{Server, any_port};
use serde_json::{Value, json};
use support::{EVENT_TIMEOUT, eventually, send};
use tokio::task::JoinHandle;

/// Timeout for a waiting read to be answered by an event. Shorter than the 30 s after
/// which the store answers without one.
const WAKE_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_store() -> Server<Store> {
    start(any_port()).await.expect("the store starts")
}

fn read_request(from: usize, wait_ms: u64) -> ClientRequest {
    ClientRequest::get(&format!(
        "/medlarreel/log-read?topic=keyed.status&part=0&from={from}&waitMs={wait_ms}"
    ))
}

/// Append of one record with the given key and no value.
fn append_request(key: &str) -> ClientRequest {
    let mut body = BytesMut::new();
    body.put_u32(key.len() as u32 + 1);
    body.put_u8(key.len() as u8);
    body.put_slice(key.as_bytes());
    ClientRequest::post(
        "/medlarreel/log-append?topic=keyed.status&part=0",
        body.freeze(),
    )
}

/// Body of a read whose only record has the given key and value.
fn one_record_body(key: &str, value: &str, end: u64) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(0);
    body.put_u32((key.len() + value.len()) as u32 + 1);
    body.put_u8(key.len() as u8);
    body.put_slice(key.as_bytes());
    body.put_slice(value.as_bytes());
    body.freeze()
}

/// Body of a read without records.
fn empty_body(end: u64) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(0);
    body.freeze()
}

/// Starts a read in the background and waits until the store has received it.
async fn start_read(store: &Server<Store>, from: usize) -> JoinHandle<ClientResponse> {
    let (address, before) = (store.address(), store.service().request_count());
    let request = read_request(from, EVENT_TIMEOUT.as_millis() as u64);
    let read = tokio::spawn(async move { send(address, request).await });
    eventually(|| store.service().request_count() > before).await;
    read
}

/// Response to a read that has been woken up.
async fn finish_read(read: JoinHandle<ClientResponse>) -> ClientResponse {
    let response = tokio::time::timeout(WAKE_TIMEOUT, read).await;
    let response = response.expect("an event ends the wait");
    response.expect("the read does not panic")
}

/// Status and era of the response to a request.
async fn status_and_era(address: SocketAddr, request: ClientRequest) -> (u16, String) {
    let response = send(address, request).await;
    (response.status, era(&response).to_owned())
}

fn era(response: &ClientResponse) -> &str {
    response
        .header("store-era")
        .expect("every response has an era")
}

/// Guards against responses without the era, refusals included.
#[tokio::test]
async fn every_response_carries_the_era() {
    let store = start_store().await;
    let address = store.address();
    let conflict = ClientRequest::post("/medlarreel/log-append?topic=a&asOf=7", "");
    let malformed = ClientRequest::get("/medlarreel/log-read?topic=a&from=x");
    let newest = ClientRequest::get("/medlarreel/log-newest?topic=a");

    let mut responses = Vec::new();
    for request in [
        append_request("a"),
        conflict,
        read_request(0, 0),
        read_request(2, 0),
        newest,
        malformed,
        ClientRequest::get("/none"),
    ] {
        responses.push(status_and_era(address, request).await);
    }
    store.service().set_unavailable(true);
    responses.push(status_and_era(address, read_request(0, 0)).await);

    let statuses = [200, 412, 200, 410, 200, 400, 404, 503];
    assert_eq!(responses, statuses.map(|status| (status, "1".to_owned())));
}

/// Guards against a restore that keeps later records or their offsets, or that is not
/// visible in the era.
#[tokio::test]
async fn a_restore_loses_later_records_and_assigns_their_offsets_again() {
    let store = start_store().await;
    let service = store.service();
    service.put("keyed.status", "a", b"old");
    let backup = service.backup();
    service.put("keyed.status", "a", b"new");
    service.put("keyed.other", "b", b"new");

    service.restore(backup);

    assert_eq!(
        service.get("keyed.status", "a").as_deref(),
        Some(&b"old"[..])
    );
    assert_eq!(service.get("keyed.other", "b"), None);
    let response = send(store.address(), append_request("c")).await;
    assert_eq!(era(&response), "2");
    let appended: Value = response.json().expect("the response is JSON");
    assert_eq!(appended, json!({"offset": 1, "end": 2}));
}

/// Guards against a restore that ends an outage or the loss of responses.
#[tokio::test]
async fn a_restore_leaves_the_faults_as_they_are() {
    let store = start_store().await;
    let service = store.service();
    service.drop_append_responses(1);
    service.set_unavailable(true);

    service.restore(service.backup());

    let refused = status_and_era(store.address(), read_request(0, 0)).await;
    assert_eq!(refused, (503, "2".to_owned()));
    service.set_unavailable(false);
    let dropped = append_request("a")
        .send(store.address(), EVENT_TIMEOUT)
        .await;
    assert!(dropped.is_err(), "{dropped:?}");
}

/// Guards against a reader that waits at an offset which the store does not have.
#[tokio::test]
async fn only_reads_beyond_the_end_are_answered_410() {
    let store = start_store().await;
    store.service().put("keyed.status", "a", b"v");

    let at_end = send(store.address(), read_request(1, 0)).await;
    let beyond = tokio::time::timeout(WAKE_TIMEOUT, send(store.address(), read_request(2, 30_000)));
    let beyond = beyond.await.expect("the read does not wait");

    assert_eq!((at_end.status, at_end.body), (200, empty_body(1)));
    assert_eq!(beyond.status, 410);
    let body: Value = beyond.json().expect("the response is JSON");
    assert_eq!(body, json!({"first": 0}));
}

/// Guards against a read at the end that does not wait for its record.
#[tokio::test]
async fn a_read_at_the_end_waits_for_its_record() {
    let store = start_store().await;
    let read = start_read(&store, 0).await;
    assert!(!read.is_finished());

    store.service().put("keyed.status", "a", b"v");

    let response = finish_read(read).await;
    assert_eq!(response.body, one_record_body("a", "v", 1));
}

/// Guards against waiting reads that miss a restore, or that are answered from the log
/// before it.
#[tokio::test]
async fn waiting_reads_are_answered_from_the_restored_log() {
    let store = start_store().await;
    let service = store.service();
    let shorter = service.backup();
    service.put("keyed.status", "a", b"v");
    let same = service.backup();
    service.put("keyed.status", "b", b"w");
    let longer = service.backup();
    service.restore(same.clone());

    let mut responses = Vec::new();
    for backup in [same, longer, shorter] {
        let end = service.backup();
        let read = start_read(&store, 1).await;
        service.restore(backup);
        responses.push(finish_read(read).await);
        service.restore(end);
    }

    let statuses = responses
        .iter()
        .map(|response| (response.status, era(response)));
    let expected = [(200, "3"), (200, "5"), (410, "7")];
    assert_eq!(statuses.collect::<Vec<_>>(), expected);
    assert_eq!(responses[0].body, empty_body(1));
    assert_eq!(responses[1].body, one_record_body("b", "w", 2));
}

/// Guards against pages that skip or repeat a key, or of which the last one names a
/// further one.
#[tokio::test]
async fn newest_records_are_answered_in_pages() {
    let store = start_store().await;
    for key in ["c", "a", "e", "b", "d"] {
        store.service().put("keyed.status", key, b"v");
    }
    store.service().put("keyed.status", "b", b"");
    store.service().set_page_items(2);

    let mut pages = Vec::new();
    for after in ["", "&after=c"] {
        let path = format!("/medlarreel/log-newest?topic=keyed.status&part=0{after}");
        let response = send(store.address(), ClientRequest::get(&path)).await;
        let page: Value = response.json().expect("the response is JSON");
        let items = page["items"].as_array().expect("a page has items");
        let keys = items.iter().map(|item| item["key"].clone());
        pages.push((keys.collect::<Vec<_>>(), page["hasMore"].clone()));
    }

    let expected = [
        (vec![json!("a"), json!("c")], json!(true)),
        (vec![json!("d"), json!("e")], json!(false)),
    ];
    assert_eq!(pages, expected);
}
