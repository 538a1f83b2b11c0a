//! Decisions of an entry instance on a platform that keeps all lasting state.
//!
//! The platform's store takes the place of the control stream, of the members'
//! votes and of the dispatchers: one instance leads by conditional appends,
//! upstreams refuse the grants of earlier leaders by their fences, and every
//! instance sends requests straight to the owner of their key.

pub mod directory;
pub mod fragments;
pub mod leadership;
pub mod ledger;
pub mod map;
pub mod plan;
pub mod queue;
pub mod routes;
pub mod upstream_state;
