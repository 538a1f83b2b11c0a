//! Adapter for the platform: its names, data formats and calls.
//!
//! All knowledge of the platform's formats is confined to this module, and it contains
//! no routing or ownership decisions.

pub mod config;
pub mod grants;
pub mod headers;
pub mod registry;
pub mod store;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_ENV_VAR: &str = "MEDLARREEL_BOOT";
