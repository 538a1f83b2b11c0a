//! The platform's names, formats and calls.
//!
//! Nothing outside this folder knows how the platform spells things, and nothing
//! in it decides.

pub mod config;
pub mod grants;
pub mod headers;
pub mod registry;
pub mod store;

/// Variable that holds the path of the settings file.
pub const SETTINGS_ENV_VAR: &str = "MEDLARREEL_BOOT";
