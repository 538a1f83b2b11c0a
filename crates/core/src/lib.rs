//! Decisions of the medlarreel router as deterministic state machines.
//!
//! Nothing in this crate performs I/O, reads a clock or draws a random number.
//! Time, randomness and every event come in as arguments; what is to be done
//! comes out as typed values. The same inputs give the same outputs, so a test
//! bench can drive every part in virtual time.

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
