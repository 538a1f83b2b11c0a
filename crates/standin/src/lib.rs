//! Stand-ins for the systems that medlarreel talks to, for tests and local runs.
//!
//! `log`, `list` and `upstream` are small HTTP/1.1 servers that implement
//! `docs/protocol.md`. Each one can be started inside a test (`start` on
//! `127.0.0.1:0`) or as a separate program. Faults are injected with `POST
//! /admin/faults`. The servers in `platform` replace the systems that
//! `medlarreel-entry` talks to; they are started inside tests only. No production crate
//! depends on this crate.

pub mod client;
pub mod command;
pub mod error;
pub mod fault;
pub mod gate;
pub mod list;
pub mod log;
pub mod platform;
pub mod ports;
pub mod server;
pub mod upstream;
