//! The request path against upstreams and peers with faults.

mod fixture;
mod proxy;
mod repeats;
mod silence;
