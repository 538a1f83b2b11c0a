//! The platform's services behind trait objects.
//!
//! A platform with other endpoints needs one adapter per trait and no change to
//! the core. `docs/protocol.md` describes the contracts that the HTTP adapters
//! in this module speak.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use medlarreel_core::grant::{Request, Response};
use medlarreel_core::ids::Offset;
use medlarreel_core::machine::ListedUpstream;

pub mod grants;
pub mod http;
pub mod list;
pub mod log;

/// Future of an adapter's call.
pub type AdapterFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer in time, or no connection. An append may have taken effect.
    Unavailable,
    /// The answer does not follow the contract.
    Malformed,
    /// The records asked for have been trimmed; the earliest one left is named.
    Trimmed(Offset),
}

/// Part of a stream.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Records in offset order.
    pub records: Vec<(Offset, Bytes)>,
    /// Offset that the next append will get.
    pub next: Offset,
}

/// Append-only log service.
pub trait Log: Send + Sync {
    /// Appends a record to the control stream and returns its offset.
    fn append(&self, record: Bytes) -> AdapterFuture<'_, Offset>;

    /// Reads records from an offset on, waiting up to `wait` for the first.
    fn read(&self, from: Offset, wait: Duration) -> AdapterFuture<'_, Batch>;
}

/// List of live and leaving upstreams.
pub trait UpstreamList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> AdapterFuture<'_, Vec<ListedUpstream>>;
}

/// The side of an upstream that takes grants.
pub trait GrantClient: Send + Sync {
    /// Asks an upstream for its state.
    fn query(&self, address: SocketAddr) -> AdapterFuture<'_, Response>;

    /// Sends a grant to an upstream.
    fn grant(&self, address: SocketAddr, request: Request) -> AdapterFuture<'_, Response>;
}
