//! Decisions of the medlarreel router as deterministic state machines.
//!
//! Nothing in this crate performs I/O, reads a clock or draws a random number.
//! Time, randomness and every event come in as arguments; what is to be done
//! comes out as typed values. The same inputs give the same outputs, so a test
//! bench can drive every part in virtual time.

pub mod checkpoint;
pub mod code;
pub mod control;
pub mod fold;
pub mod grant;
pub mod ids;
pub mod preset;
pub mod record;
pub mod time;
pub mod wire;
