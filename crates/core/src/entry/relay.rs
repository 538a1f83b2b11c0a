//! Distribution of the leader's messages through relays.
//!
//! In a large fleet the leader cannot send each message to every instance: its network
//! link would be full. It sends each message to a few instances of each failure domain,
//! the relays, which pass it on within their domain. The leader names the receivers in
//! the message, so that a relay needs no list of instances and can be replaced from one
//! message to the next.
//!
//! Successive messages use different relays. A relay that is lost therefore delays a
//! message to its receivers, but does not cut them off until the leader notices.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use medlarreel_macros::data;

/// Number of receivers up to which the leader sends to all of them itself.
const MAX_DIRECT_RECEIVERS: usize = 24;

/// Number of disjoint sets of relays that take turns.
const RELAY_SETS: usize = 3;

/// An instance that is to receive a message.
#[data(plain)]
#[derive(Copy)]
pub struct Receiver<'a> {
    /// Address for messages between instances.
    pub address: SocketAddr,
    /// Failure domain that the instance runs in.
    pub domain: &'a str,
    /// Processor time allotted to the instance, in percent of a core. Relays are chosen
    /// among the instances that have most.
    pub cpu_percent: u32,
    /// Whether the leader has recently heard from the instance. Others become relays only
    /// if there are not enough of these.
    pub alive: bool,
}

/// Part of the fleet that is reached through one relay.
#[data(plain)]
pub struct Branch {
    /// Instance that the leader sends the message to.
    pub relay: SocketAddr,
    /// Instances that the relay passes the message on to.
    pub receivers: Vec<SocketAddr>,
}

/// Divides the receivers of a message into branches: one for each receiver in a small
/// fleet; otherwise branches within failure domains, of a size near the square root of
/// the number of receivers. `round` is increased with each message, which changes the
/// relays.
pub fn plan_branches(receivers: &[Receiver<'_>], round: u64) -> Vec<Branch> {
    if receivers.len() <= MAX_DIRECT_RECEIVERS {
        let direct = receivers.iter().map(|receiver| Branch {
            relay: receiver.address,
            receivers: Vec::new(),
        });
        return direct.collect();
    }
    let branch_size = (receivers.len() as f64).sqrt().ceil() as usize;
    let mut domains: BTreeMap<&str, Vec<&Receiver<'_>>> = BTreeMap::new();
    for receiver in receivers {
        domains.entry(receiver.domain).or_default().push(receiver);
    }
    let branches = domains.into_values();
    branches
        .flat_map(|members| plan_domain(members, branch_size, round))
        .collect()
}

/// Divides the receivers of one failure domain into branches of at most `branch_size`
/// instances, including the relay.
fn plan_domain(mut members: Vec<&Receiver<'_>>, branch_size: usize, round: u64) -> Vec<Branch> {
    let relay_count = members.len().div_ceil(branch_size);
    members.sort_by_key(|member| {
        let strength = std::cmp::Reverse(member.cpu_percent);
        (!member.alive, strength, member.address)
    });
    let set_count = (members.len() / relay_count).min(RELAY_SETS) as u64;
    let first_relay = (round % set_count) as usize * relay_count;
    let relays: Vec<&Receiver<'_>> = members
        .drain(first_relay..first_relay + relay_count)
        .collect();
    let mut branches: Vec<Branch> = relays
        .iter()
        .map(|relay| Branch {
            relay: relay.address,
            receivers: Vec::new(),
        })
        .collect();
    for (index, member) in members.iter().enumerate() {
        branches[index % relay_count].receivers.push(member.address);
    }
    branches
}
