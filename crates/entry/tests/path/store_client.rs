//! Client of the store: results that take several responses.

use std::net::SocketAddr;

use medlarreel_entry::error::Error;
use medlarreel_entry::platform::store::{LatestRecords, StoreClient};
use medlarreel_standin::platform::store::{self, Store};
use medlarreel_standin::server::{Server, any_port};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::fixture::{TEST_TIMEOUT, memory, read_response};

/// Topic that is read.
const TOPIC: &str = "keyed.servers";

/// Starts a store with one record for each key, which answers in pages of two records.
async fn start_store(keys: &[&str]) -> Server<Store> {
    let store = store::start(any_port()).await.unwrap();
    for key in keys {
        store.service().put(TOPIC, key, b"v");
    }
    store.service().set_page_items(2);
    store
}

/// Reads the latest records. Panics if the read does not end.
async fn read_to_end(client: &mut StoreClient) -> Result<LatestRecords, Error> {
    let tasks = LocalSet::new();
    let reading = tasks.run_until(client.read_latest(TOPIC));
    let outcome = timeout(TEST_TIMEOUT, reading).await;
    outcome.expect("the topic is read without end")
}

/// Guards against records that are left out because they are not in the first page.
#[tokio::test]
async fn latest_records_are_read_from_all_pages() {
    let store = start_store(&["a", "b", "c", "d", "e"]).await;
    let mut client = StoreClient::new(store.address(), memory());

    let latest = LocalSet::new().run_until(client.read_latest(TOPIC)).await;

    let latest = latest.unwrap();
    let keys = latest.records.iter().map(|record| record.key.as_str());
    assert_eq!(keys.collect::<Vec<_>>(), ["a", "b", "c", "d", "e"]);
    assert_eq!(latest.next_offset, 5);
}

/// Guards against records of two eras in one result, whose offset belongs to the earlier
/// era while the client is in the later one.
#[tokio::test]
async fn restore_between_two_pages_fails_the_read() {
    let store = start_store(&["a", "b", "c"]).await;
    let backup = store.service().backup();
    store.service().put(TOPIC, "d", b"v");
    store.service().restore_between_pages(backup);
    let mut client = StoreClient::new(store.address(), memory());

    let (failed, read_again) = LocalSet::new()
        .run_until(async {
            let failed = client.read_latest(TOPIC).await;
            (failed, client.read_latest(TOPIC).await)
        })
        .await;

    assert_eq!(failed, Err(Error::Restored));
    assert_eq!(read_again.unwrap().next_offset, 3);
    assert_eq!(client.era().0, 2);
}

/// Guards against a key that another writer has chosen and that the store takes for another
/// one, or that ends the read, when a page ends with it.
#[tokio::test]
async fn latest_records_are_read_behind_any_key() {
    let long = "k".repeat(255);
    let mut keys = vec![
        "",
        " ",
        "\"",
        "\0",
        "\n",
        "\r\n",
        "\u{7f}",
        "#",
        "%",
        "%41",
        "&",
        "&part=7",
        "+",
        "/",
        "=",
        "?",
        "A",
        "\\",
        "a b",
        "job#1",
        "\u{e4}",
        "\u{1f511}",
        &long,
    ];
    let characters: Vec<String> = ('\0'..='\u{ff}').map(String::from).collect();
    keys.extend(characters.iter().map(String::as_str));
    keys.sort_unstable();
    keys.dedup();
    let store = start_store(&keys).await;
    store.service().set_page_items(1);
    let mut client = StoreClient::new(store.address(), memory());

    let latest = read_to_end(&mut client).await;

    let latest = latest.unwrap();
    let read = latest.records.iter().map(|record| record.key.as_str());
    assert_eq!(read.collect::<Vec<_>>(), keys);
    assert_eq!(store.service().request_count() as usize, keys.len());
}

/// Guards against a load that reads one page again and again without a pause.
#[tokio::test]
async fn page_without_further_keys_fails_the_read() {
    let store = start_store(&["a", "b", "c"]).await;
    store.service().repeat_first_page();
    let mut client = StoreClient::new(store.address(), memory());

    let latest = read_to_end(&mut client).await;

    assert!(matches!(latest, Err(Error::Malformed(_))), "{latest:?}");
    assert_eq!(store.service().request_count(), 2);
}

/// Starts a store whose topics never end: each page has a further key with a large value.
async fn start_endless_store() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let value = "QUFB".repeat(500_000);
        for number in 0.. {
            if read_response(&mut stream).await.is_empty() {
                return;
            }
            let page = json!({
                "items": [{"key": format!("k{number}"), "value": value, "offset": number}],
                "hasMore": true, "end": 1,
            });
            let page = page.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
            // The client may have closed its end.
            stream.write_all(head.as_bytes()).await.ok();
            stream.write_all(page.as_bytes()).await.ok();
        }
    });
    address
}

/// Guards against a topic that takes more memory than the process has.
#[tokio::test]
async fn topic_of_any_size_is_not_loaded() {
    let memory = memory();
    let mut client = StoreClient::new(start_endless_store().await, memory.clone());

    let latest = read_to_end(&mut client).await;

    assert!(matches!(latest, Err(Error::Malformed(_))), "{latest:?}");
    drop(client);
    assert_eq!(memory.usage().0, 0);
}
