//! Settings, adapters, transport and servers around medlarreel's decision logic.

pub mod settings;
