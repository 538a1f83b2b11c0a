//! Tests of the decision logic of an entry instance.

mod check;
mod cold;
mod connections;
mod directory;
mod doubt;
mod evacuation;
mod even_load;
mod fixture;
mod follow;
mod fragments;
mod in_flight;
mod leadership;
mod ledger;
mod link;
mod map;
mod memory;
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
