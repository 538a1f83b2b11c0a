//! Entry instance: everything between callers and upstreams in one process.
//!
//! One thread runs the listeners, the readers of the platform's store, the
//! leader's duties and the exchange with other instances. Decisions are made by
//! `medlarreel_core::entry`; this crate carries them out.

pub mod clock;
pub mod connection;
pub mod daemon;
pub mod error;
pub mod leader;
pub mod listeners;
pub mod log;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod proxy;
pub mod read_ahead;
pub mod reader;
pub mod settings;
pub mod state;
