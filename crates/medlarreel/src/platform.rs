//! Interfaces to the services of the platform.
//!
//! A platform with other endpoints needs one adapter per trait and no change to the
//! core. `docs/protocol.md` describes the protocols of the HTTP adapters in this
//! module.

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

/// Boxed future returned by adapter methods.
pub type AdapterFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection, no complete response in time, or an error status. An append may
    /// have taken effect.
    Unavailable,
    /// The response violates the protocol, or the request could not be built.
    Malformed,
    /// The requested records have been trimmed; holds the earliest remaining offset.
    Trimmed(Offset),
}

/// Consecutive records of a stream.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Records in offset order.
    pub records: Vec<(Offset, Bytes)>,
    /// Offset that the next append will be assigned.
    pub next: Offset,
}

/// Append-only log service.
pub trait Log: Send + Sync {
    /// Appends a record to the control stream and returns its offset.
    fn append(&self, record: Bytes) -> AdapterFuture<'_, Offset>;

    /// Reads records starting at an offset, waiting up to `wait` for the first one.
    ///
    /// The batch is empty if none was appended in time. Records that are no longer kept
    /// are reported as `PlatformError::Trimmed`.
    fn read(&self, from: Offset, wait: Duration) -> AdapterFuture<'_, Batch>;
}

/// List of live and leaving upstreams.
pub trait UpstreamList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> AdapterFuture<'_, Vec<ListedUpstream>>;
}

/// Client of the grant endpoint of upstreams.
pub trait GrantClient: Send + Sync {
    /// Queries the state of an upstream.
    fn query(&self, address: SocketAddr) -> AdapterFuture<'_, Response>;

    /// Sends a grant to an upstream.
    fn grant(&self, address: SocketAddr, request: Request) -> AdapterFuture<'_, Response>;
}
