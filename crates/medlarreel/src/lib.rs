//! Settings, adapters, transport and servers around medlarreel's decision logic.

pub mod ctl;
pub mod operators;
pub mod settings;
