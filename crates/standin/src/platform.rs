//! Stand-ins for a platform that keeps the instances' lasting state: its log
//! store, and upstreams that check the fences of grants.

pub mod store;
pub mod upstream;
