//! Retry budget shared by the traffic threads.

use std::sync::Mutex;

use medlarreel_core::retry::Budget;
use medlarreel_core::time::Time;

/// Budget for attempts after the first.
#[derive(Debug, Default)]
pub struct Retries(Mutex<Budget>);
