//! End-to-end tests of the entry: the real program runs as a process between callers and
//! stand-ins for the store and the upstreams.

mod bodies;
mod check_config;
mod connection;
mod copies;
mod crashes;
mod decoding;
mod endless;
mod evacuation;
mod faults;
mod fixture;
mod fleet;
mod history;
mod leaving;
mod memory;
mod messages;
mod metrics;
mod missed;
mod odd_entries;
mod orders;
mod rate_limit;
mod refusals;
mod requests;
mod restarts;
mod restored;
mod settings;
mod shutdown;
mod statuses;
mod store_client;
