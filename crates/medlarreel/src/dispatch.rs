//! Dispatch of requests to upstreams.
//!
//! An instance dispatches requests to the upstreams that the control holder has
//! assigned to it. Each upstream has a `Lane`, which holds the queue for its slots,
//! its connection pool, and the permit under which requests may be sent. Lanes are
//! published to the traffic threads in an immutable map.

pub mod idempotency;
pub mod lane;
pub mod lanes;
pub mod pool;
pub mod silence;

pub use lane::{Lane, Permit};
pub use lanes::Lanes;
pub use pool::{BufferedResponse, ExchangeError, Pool};
