//! Tests of the request path with faulty upstreams, peers and callers.

mod fixture;
mod hostile;
mod idempotency;
mod lanes;
mod load_balancer;
mod metrics;
mod proxy;
mod silence;
