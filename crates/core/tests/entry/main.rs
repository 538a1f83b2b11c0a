//! Tests of the decision logic of an entry instance.

mod directory;
mod doubt;
mod even_load;
mod fixture;
mod follow;
mod fragments;
mod leadership;
mod ledger;
mod map;
mod ownership;
mod plan;
mod queue;
mod rate_limit;
mod recovery;
mod relay;
mod routes;
mod subset;
mod suspects;
mod transfer;
