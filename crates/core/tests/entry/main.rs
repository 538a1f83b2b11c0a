//! Tests of the decision logic of an entry instance.

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
