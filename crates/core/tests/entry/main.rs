//! Tests of the decision logic of an entry instance.

mod admission;
mod directory;
mod doubt;
mod fixture;
mod follow;
mod fragments;
mod leadership;
mod ledger;
mod map;
mod outcome;
mod ownership;
mod plan;
mod queue;
mod rate_limit;
mod recovery;
mod relay;
mod routes;
mod suspects;
mod transfer;
