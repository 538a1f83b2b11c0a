//! Decisions of the medlarreel router as deterministic state machines.
//!
//! Nothing in this crate performs I/O, reads a clock or draws a random number.
//! Time, randomness and events are passed in as arguments, and actions are
//! returned as typed values. The same inputs always give the same outputs, so
//! tests can drive every part in virtual time.

pub mod admission;
pub mod checkpoint;
pub mod code;
pub mod config;
pub mod control;
pub mod dedup;
pub mod entry;
pub mod fold;
pub mod grant;
pub mod health;
pub mod holder;
pub mod ids;
pub mod machine;
pub mod placement;
pub mod preset;
pub mod record;
pub mod retry;
pub mod route;
pub mod time;
pub mod wire;
