//! Tests of the entry instance's decisions.

mod directory;
mod fixture;
mod lead;
mod ledger;
mod map;
mod ownership;
mod pieces;
mod plan;
mod queue;
mod routes;
