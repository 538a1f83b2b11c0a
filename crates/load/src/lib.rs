//! Open-loop load generator and slope benchmarks.
//!
//! `generator` sends HTTP requests on a schedule that does not wait for
//! responses, and measures latency from the intended start of each request.
//! `slopes` measures how the cost of the core's state machines grows with input
//! size, and compares strategies for sharing an upstream's slots in virtual time.

pub mod error;
pub mod generator;
pub mod slopes;

pub use error::Error;
