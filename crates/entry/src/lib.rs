//! Entry instance: the HTTP proxy between callers and upstreams.
//!
//! A single thread runs the listeners, the readers of the platform's store, the leader
//! task and the messaging between instances. The decision logic is in
//! `medlarreel_core::entry`; this crate performs the I/O.

pub mod body;
pub mod bounded_stream;
pub mod callers;
pub mod check;
pub mod clock;
pub mod connection;
pub mod crashes;
pub mod daemon;
pub mod error;
pub mod identity;
pub mod leader;
pub mod link;
pub mod listeners;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod permits;
pub mod platform;
pub mod pool;
pub mod proxy;
pub mod read_ahead;
pub mod reader;
pub mod settings;
pub mod sharing;
pub mod state;
