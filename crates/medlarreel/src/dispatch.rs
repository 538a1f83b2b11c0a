//! Dispatch of requests to upstreams.
//!
//! An instance dispatches for the upstreams that the control holder has
//! assigned to it. Each has a `Lane`: the queue for its slots, its connections,
//! and the permit under which requests may be sent. Lanes are published to the
//! traffic threads in an immutable map.

pub mod idempotency;
pub mod lane;
pub mod lanes;
pub mod pool;
pub mod silence;

pub use lane::{Lane, Permit};
pub use lanes::Lanes;
pub use pool::{BufferedResponse, ExchangeError, Pool};
