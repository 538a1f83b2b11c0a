//! Connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use medlarreel_entry::connection::Connection;
use medlarreel_entry::error::Error;
use medlarreel_standin::server::any_port;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against a request of unknown outcome: upstreams at their connection limit reset
/// each new connection, and a request that is written before the reset arrives may have
/// run as far as the caller can tell.
#[tokio::test]
async fn reset_of_a_new_connection_is_noticed_before_a_request_is_sent() {
    let (listener, address) = listen().await;
    let tasks = LocalSet::new();
    let confirmed = tasks.run_until(async {
        let connection = Connection::connect(address, Duration::from_secs(5)).await;
        let (accepted, _) = listener.accept().await.unwrap();
        socket2::SockRef::from(&accepted)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(accepted);
        connection.unwrap().confirm_accepted().await
    });

    let confirmed = confirmed.await;

    assert_eq!(confirmed, Err(Error::NotAccepted));
}

/// Guards against connections that are given up although the server keeps them.
#[tokio::test]
async fn accepted_connection_is_confirmed() {
    let (listener, address) = listen().await;
    let tasks = LocalSet::new();
    let confirmed = tasks.run_until(async {
        let connection = Connection::connect(address, Duration::from_secs(5)).await;
        let _accepted = listener.accept().await.unwrap();
        connection.unwrap().confirm_accepted().await
    });

    assert_eq!(confirmed.await, Ok(()));
}
