//! Tests of the entry instance's decisions.

mod directory;
mod fixture;
mod lead;
mod ledger;
mod ownership;
mod plan;
mod queue;
mod routes;
