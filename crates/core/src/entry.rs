//! Decision logic of an entry instance on a platform that stores all persistent state.
//!
//! The platform's store replaces the control stream, the votes of the members and the
//! dispatchers. A leader is elected by conditional appends to the store, upstreams use
//! fencing to refuse grants of earlier leaders, and every instance sends a request
//! directly to the owner of its key.

pub mod directory;
pub mod fragments;
pub mod leadership;
pub mod ledger;
pub mod map;
pub mod plan;
pub mod queue;
pub mod routes;
pub mod upstream_state;
