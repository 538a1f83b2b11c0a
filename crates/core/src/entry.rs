//! Decision logic of an entry instance: an HTTP router on a platform whose store holds
//! all persistent state.
//!
//! The control stream, the votes and the dispatchers of the rest of this crate are not
//! used here. A leader is elected by conditional appends to the platform's store,
//! upstreams use fencing to refuse grants of earlier leaders, and every instance sends a
//! request directly to the owner of its key.

pub mod check;
pub mod connection_share;
pub mod connections;
pub mod difference;
pub mod directory;
pub mod doubt;
pub mod era;
pub mod evacuation;
pub mod follow;
pub mod fragments;
pub mod in_flight;
pub mod leadership;
pub mod ledger;
pub mod limiter;
pub mod link;
pub mod map;
pub mod memory;
pub mod outcome;
pub mod permit;
pub mod plan;
pub mod queue;
pub mod relay;
pub mod routes;
pub mod subset;
pub mod suspects;
pub mod transfer;
pub mod upstream_state;
pub mod warmup;
