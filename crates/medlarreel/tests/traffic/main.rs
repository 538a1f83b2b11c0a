//! The request path against upstreams and peers with faults.

mod choice;
mod fixture;
mod hostile;
mod lanes;
mod metrics;
mod proxy;
mod repeats;
mod silence;
