//! Folded states of fleets of several sizes.

use medlarreel_core::fold::State;
use medlarreel_core::ids::{Offset, Service, Upstream};
use medlarreel_core::record::{Body, Member, ShardChange, UpstreamSpec};

use super::fold::{CLUB, SHARDS, apply, author, member, server};

/// Changes in one `Plan` record, and upstreams in one `Enroll` record.
const CHANGES: usize = 8_192;
const SERVERS: usize = 1_000;

/// Size of one club.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    pub(super) members: u64,
    pub(super) upstreams: u32,
    pub(super) shards: usize,
    pub(super) domains: u64,
}

impl Fleet {
    /// Services, because one has at most `SHARDS` shards.
    pub(super) fn services(self) -> usize {
        self.shards.div_ceil(SHARDS)
    }

    fn service_of(self, upstream: u32) -> usize {
        upstream as usize % self.services()
    }

    fn shards_of(self, service: usize) -> usize {
        SHARDS.min(self.shards - service * SHARDS)
    }

    pub(super) fn member(self, key: u64) -> Member {
        Member {
            domain: format!("domain-{}", key % self.domains),
            ..member(key)
        }
    }

    fn server(self, key: u32) -> UpstreamSpec {
        UpstreamSpec {
            domain: format!("domain-{}", u64::from(key) % self.domains),
            ..server(key, &format!("s{}", self.service_of(key)))
        }
    }

    fn preset(self) -> String {
        let budget = self.upstreams * 6;
        let service = |index| {
            let shards = self.shards_of(index);
            format!(
                "[service s{index}]\nclub = {CLUB}\nkeyed = yes\nshards = {shards}\n\
                 slots = 6 slots\nconnections = 100\nfencing = checked\n\
                 isolation = lapse\nqueue = 256 requests\nmax_body = 1 MiB\n\n"
            )
        };
        let services: String = (0..self.services()).map(service).collect();
        format!(
            "[preset]\nname = ordinary\nbudget = {budget} slots\n\n\
             [club {CLUB}]\nshare = 100 %\n\n{services}\
             [rank status]\ndeadline = 500 ms\n\n[rank order]\ndeadline = 2 s\n\n\
             [rank archive]\ndeadline = 10 s\n"
        )
    }

    /// State after the records that set the fleet up.
    pub(super) fn state(self) -> State {
        let mut state = State::default();
        let reset = Body::Reset {
            club: CLUB.to_owned(),
            expected: Offset(0),
            voter: self.member(1),
        };
        apply(&mut state, reset);
        let name = "ordinary".to_owned();
        let publish = Body::Publish {
            name: name.clone(),
            expected: 0,
            text: self.preset(),
        };
        apply(&mut state, publish);
        let activate = Body::Activate {
            name,
            version: 1,
            expected: 0,
        };
        apply(&mut state, activate);
        apply(&mut state, Body::Lead(author()));
        for key in 2..=self.members {
            apply(&mut state, Body::Admit(author(), self.member(key)));
        }
        let servers: Vec<UpstreamSpec> = (0..self.upstreams).map(|key| self.server(key)).collect();
        for part in servers.chunks(SERVERS) {
            apply(&mut state, Body::Enroll(author(), part.to_vec()));
        }
        (0..self.services()).for_each(|service| self.place(&mut state, service));
        state
    }

    /// Divides the service's shards evenly over its upstreams.
    fn place(self, state: &mut State, index: usize) {
        let service = Service(index as u16);
        let upstreams: Vec<Upstream> = state.upstreams_of(service).collect();
        let change = |shard: usize| ShardChange {
            index: shard as u16,
            owner: upstreams[shard % upstreams.len()],
            standby: Some(upstreams[(shard + 1) % upstreams.len()]),
        };
        let changes: Vec<ShardChange> = (0..self.shards_of(index)).map(change).collect();
        for (expected, part) in (0..).zip(changes.chunks(CHANGES)) {
            let body = Body::Plan {
                author: author(),
                service,
                expected,
                changes: part.to_vec(),
                cause: "first plan".to_owned(),
            };
            apply(state, body);
        }
    }
}
