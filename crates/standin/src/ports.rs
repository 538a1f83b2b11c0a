//! Reservation of loopback ports for processes that are started later.

use std::net::SocketAddr;

use rand::Rng;
use tokio::net::{TcpSocket, UdpSocket};

use crate::error::Error;

/// Ports to choose from. They lie below the range that the system assigns from, so that
/// no other socket, TCP or UDP, is assigned one.
const RESERVABLE_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// A loopback port that is reserved until this value is dropped.
///
/// The reservation is a TCP socket that is bound but does not listen: connections to the
/// port are refused, and only a listener with `SO_REUSEADDR` can be bound to it. UDP
/// sockets can be bound to the port as well.
#[derive(Debug)]
pub struct ReservedPort {
    port: u16,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Number of the port.
    pub fn number(&self) -> u16 {
        self.port
    }

    /// Loopback address with this port.
    pub fn address(&self) -> SocketAddr {
        loopback(self.port)
    }
}

/// Reserves `count` distinct loopback ports that are free for TCP and UDP.
///
/// # Errors
///
/// A socket cannot be created.
pub async fn reserve_ports(count: usize) -> Result<Vec<ReservedPort>, Error> {
    let mut reserved = Vec::new();
    while reserved.len() < count {
        let port = rand::rng().random_range(RESERVABLE_PORTS);
        let socket = TcpSocket::new_v4()?;
        // Without the option, a bind fails if any other socket has the port.
        let is_free = socket.bind(loopback(port)).is_ok();
        if is_free && UdpSocket::bind(loopback(port)).await.is_ok() {
            socket.set_reuseaddr(true)?;
            reserved.push(ReservedPort {
                port,
                _socket: socket,
            });
        }
    }
    Ok(reserved)
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
