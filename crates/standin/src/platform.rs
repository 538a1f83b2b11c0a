//! Stand-ins for a platform that stores the instances' durable state: its log store,
//! and upstreams that check the fences (fencing tokens) of grants.

pub mod store;
pub mod upstream;
