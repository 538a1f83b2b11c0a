//! Settings, platform adapters, transport and servers around the decision logic of
//! `medlarreel_core`.

pub mod app;
pub mod clock;
pub mod control;
pub mod ctl;
pub mod daemon;
pub mod dispatch;
pub mod listen;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod proxy;
pub mod settings;
