//! Stand-ins for the systems around medlarreel, for tests and local runs.
//!
//! `log`, `list` and `upstream` are small HTTP/1.1 servers that follow
//! `docs/protocol.md`. Each one runs inside a test (`start` on `127.0.0.1:0`)
//! or as a program of its own, and shows faults on request (`POST
//! /admin/faults`). No production crate depends on this crate.

pub mod client;
pub mod command;
pub mod error;
pub mod fault;
pub mod gate;
pub mod list;
pub mod log;
pub mod platform;
pub mod server;
pub mod upstream;
