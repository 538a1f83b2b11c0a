//! Builds folded states for fleets of given sizes.

use medlarreel_core::fold::State;
use medlarreel_core::ids::{Offset, Service, Upstream};
use medlarreel_core::record::{Body, Member, ShardChange, UpstreamSpec};

use super::fold::{CLUB_NAME, MAX_SHARDS_PER_SERVICE, apply, author, member, upstream_spec};

/// Maximum number of changes in one `Plan` record, as in those that the holder writes.
const MAX_CHANGES_PER_PLAN: usize = 8_192;
/// Maximum number of upstreams in one `Enroll` record. Instances write at most 256.
const MAX_UPSTREAMS_PER_ENROLL: usize = 1_000;

/// Numbers of members, upstreams, shards and failure domains of one club.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    pub(super) members: u64,
    pub(super) upstreams: u32,
    pub(super) shards: usize,
    pub(super) domains: u64,
}

impl Fleet {
    /// Number of services needed, with at most `MAX_SHARDS_PER_SERVICE` shards each.
    pub(super) fn service_count(self) -> usize {
        self.shards.div_ceil(MAX_SHARDS_PER_SERVICE)
    }

    fn service_index(self, upstream: u32) -> usize {
        upstream as usize % self.service_count()
    }

    fn shard_count(self, service: usize) -> usize {
        MAX_SHARDS_PER_SERVICE.min(self.shards - service * MAX_SHARDS_PER_SERVICE)
    }

    pub(super) fn member(self, key: u64) -> Member {
        Member {
            domain: format!("domain-{}", key % self.domains),
            ..member(key)
        }
    }

    fn upstream_spec(self, key: u32) -> UpstreamSpec {
        UpstreamSpec {
            domain: format!("domain-{}", u64::from(key) % self.domains),
            ..upstream_spec(key, &format!("s{}", self.service_index(key)))
        }
    }

    fn preset_text(self) -> String {
        let budget = self.upstreams * 6;
        let service = |index| {
            let shards = self.shard_count(index);
            format!(
                "[service s{index}]\nclub = {CLUB_NAME}\nkeyed = yes\nshards = {shards}\n\
                 slots = 6 slots\nconnections = 100\nfencing = checked\n\
                 isolation = lapse\nqueue = 256 requests\nmax_body = 1 MiB\n\n"
            )
        };
        let services: String = (0..self.service_count()).map(service).collect();
        format!(
            "[preset]\nname = ordinary\nbudget = {budget} slots\n\n\
             [club {CLUB_NAME}]\nshare = 100 %\n\n{services}\
             [rank status]\ndeadline = 500 ms\n\n[rank order]\ndeadline = 2 s\n\n\
             [rank archive]\ndeadline = 10 s\n"
        )
    }

    /// State after applying the records that set up the fleet.
    pub(super) fn state(self) -> State {
        let mut state = State::default();
        let reset = Body::Reset {
            club: CLUB_NAME.to_owned(),
            expected: Offset(0),
            voter: self.member(1),
        };
        apply(&mut state, reset);
        let name = "ordinary".to_owned();
        let publish = Body::Publish {
            name: name.clone(),
            expected: 0,
            text: self.preset_text(),
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
        let specs: Vec<UpstreamSpec> = (0..self.upstreams)
            .map(|key| self.upstream_spec(key))
            .collect();
        for chunk in specs.chunks(MAX_UPSTREAMS_PER_ENROLL) {
            apply(&mut state, Body::Enroll(author(), chunk.to_vec()));
        }
        (0..self.service_count()).for_each(|service| self.place_shards(&mut state, service));
        state
    }

    /// Distributes the service's shards evenly over its upstreams.
    fn place_shards(self, state: &mut State, index: usize) {
        let service = Service(index as u16);
        let upstreams: Vec<Upstream> = state.upstreams_of(service).collect();
        let change = |shard: usize| ShardChange {
            index: shard as u16,
            owner: upstreams[shard % upstreams.len()],
            standby: Some(upstreams[(shard + 1) % upstreams.len()]),
        };
        let changes: Vec<ShardChange> = (0..self.shard_count(index)).map(change).collect();
        for (expected, chunk) in (0..).zip(changes.chunks(MAX_CHANGES_PER_PLAN)) {
            let body = Body::Plan {
                author: author(),
                service,
                expected,
                changes: chunk.to_vec(),
                cause: "first plan".to_owned(),
            };
            apply(state, body);
        }
    }
}
