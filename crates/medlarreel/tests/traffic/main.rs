//! Tests of the request path with faulty upstreams, peers and callers.

mod choice;
mod fixture;
mod hostile;
mod lanes;
mod metrics;
mod proxy;
mod repeats;
mod silence;
