//! Tests of reserved ports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use medlarreel_standin::ports::reserve_ports;
use medlarreel_standin::server::any_port;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Guards against a port that is reserved twice, and so given to two instances.
#[tokio::test]
async fn reserved_ports_are_distinct() {
    let mut reserved = reserve_ports(18).await.expect("ports are free");
    reserved.extend(reserve_ports(18).await.expect("ports are free"));

    let numbers: BTreeSet<u16> = reserved.iter().map(|port| port.number()).collect();

    assert_eq!(numbers.len(), 36);
}

/// Guards against a port that another socket takes between its reservation and the start
/// of the process that is to listen on it.
#[tokio::test]
async fn other_sockets_do_not_take_a_reserved_port() {
    let reserved = reserve_ports(40).await.expect("ports are free");
    let numbers: BTreeSet<u16> = reserved.iter().map(|port| port.number()).collect();
    let target = TcpListener::bind(any_port()).await.expect("binds");
    let address = target.local_addr().expect("is bound");
    let mut assigned: Vec<SocketAddr> = Vec::new();
    let mut sockets = Vec::new();

    for _ in 0..200 {
        let listener = TcpListener::bind(any_port()).await.expect("binds");
        let udp = UdpSocket::bind(any_port()).await.expect("binds");
        let (stream, accepted) = tokio::join!(TcpStream::connect(address), target.accept());
        let stream = stream.expect("connects");
        assigned.extend(
            [listener.local_addr(), udp.local_addr(), stream.local_addr()]
                .map(|a| a.expect("is bound")),
        );
        sockets.push((listener, udp, stream, accepted.expect("accepts")));
    }

    assert!(
        assigned
            .iter()
            .all(|address| !numbers.contains(&address.port()))
    );
    for port in &reserved {
        TcpListener::bind(port.address())
            .await
            .expect("the process it is reserved for binds it");
        UdpSocket::bind(port.address()).await.expect("also for UDP");
    }
}

/// Guards against a caller of a killed process that reaches a listener of another test.
#[tokio::test]
async fn a_reserved_port_refuses_connections_after_its_process_has_ended() {
    let reserved = reserve_ports(1).await.expect("a port is free");
    let process = TcpListener::bind(reserved[0].address())
        .await
        .expect("binds");

    drop(process);

    let connected = TcpStream::connect(reserved[0].address()).await;
    assert!(connected.is_err());
    let other = reserve_ports(1).await.expect("a port is free");
    assert_ne!(other[0].number(), reserved[0].number());
}
