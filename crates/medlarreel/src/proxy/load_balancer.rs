//! Choice of upstream for services that are not keyed.
//!
//! Each instance judges the upstreams from the attempts that it made itself and
//! sends a request to the less busy of two random ones.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use medlarreel_core::code::Code;
use medlarreel_core::health::{Candidate, Observation, Thresholds, UpstreamGroup};
use medlarreel_core::ids::{Service, Upstream};
use medlarreel_core::time::Time;
use rand::Rng;

use super::Refusal;
use crate::app::Snapshot;
use crate::clock::Clock;
use crate::dispatch::BufferedResponse;

/// Upstreams that are compared for a request.
const COMPARED: usize = 2;

/// Time between two judgements of a service's upstreams.
const REVIEW: Duration = Duration::from_millis(50);

/// Upstreams of all services that are not keyed.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    services: ArcSwap<HashMap<Service, Arc<UpstreamSet>>>,
}

/// Upstreams of one service.
#[derive(Debug)]
pub struct UpstreamSet(Mutex<State>);

#[derive(Debug)]
struct State {
    group: UpstreamGroup,
    /// Attempts of this instance that are open now.
    open: HashMap<Upstream, u32>,
    reviewed: Time,
}

/// An attempt that counts as open until dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    members: Arc<UpstreamSet>,
    upstream: Upstream,
    clock: Clock,
    begun: Time,
    ended: bool,
}

impl LoadBalancer {
    /// Follows the services and upstreams of a new snapshot.
    pub fn update(&self, now: Time, snapshot: &Snapshot) {
        let known = self.services.load();
        let routes = snapshot.state.services().iter();
        let routes = routes.filter_map(|service| snapshot.table.route(&service.name));
        let unkeyed = routes.filter(|route| !route.limits.keyed);
        let services = unkeyed.map(|route| {
            let members = known.get(&route.service).cloned();
            let members = members.unwrap_or_else(|| Arc::new(UpstreamSet::new(now)));
            members.update(now, &route.upstreams);
            (route.service, members)
        });
        let services = services.collect();
        self.services.store(Arc::new(services));
    }

    /// Upstreams of the service.
    pub fn upstreams(&self, service: Service) -> Option<Arc<UpstreamSet>> {
        self.services.load().get(&service).cloned()
    }
}

impl UpstreamSet {
    fn new(now: Time) -> UpstreamSet {
        UpstreamSet(Mutex::new(State {
            group: UpstreamGroup::new(Thresholds::default()),
            open: HashMap::new(),
            reviewed: now,
        }))
    }

    fn update(&self, now: Time, upstreams: &[Upstream]) {
        let mut state = self.lock();
        // Those that are found at the start have been running before.
        let cold = !state.open.is_empty();
        let gone: Vec<_> = state.open.keys().copied().collect();
        for upstream in gone.into_iter().filter(|one| !upstreams.contains(one)) {
            state.group.remove(upstream);
            state.open.remove(&upstream);
        }
        for upstream in upstreams {
            state.group.add(now, *upstream, cold);
            state.open.entry(*upstream).or_insert(0);
        }
    }

    /// Up to `count` upstreams, in the order in which they are to be tried.
    pub fn choose(&self, now: Time, upstreams: &[Upstream], count: usize) -> Vec<Upstream> {
        let mut state = self.lock();
        state.review(now);
        let serving = |upstream: &&Upstream| !state.group.is_ejected(**upstream);
        let serving: Vec<_> = upstreams.iter().filter(serving).copied().collect();
        // All of a small service may be ejected by evidence of this side's fault.
        let from = if serving.is_empty() {
            upstreams
        } else {
            &serving[..]
        };
        let mut random = rand::rng();
        let amount = count.max(COMPARED).min(from.len());
        let picked = rand::seq::index::sample(&mut random, from.len(), amount);
        let mut picked: Vec<_> = picked.into_iter().map(|index| from[index]).collect();
        let compared: Vec<_> = picked.iter().take(COMPARED).collect();
        let candidates = compared.into_iter().map(|upstream| Candidate {
            upstream: *upstream,
            local_load: state.open.get(upstream).copied().unwrap_or(0),
            reported_load: None,
        });
        let candidates: Vec<_> = candidates.collect();
        let best = state.group.choose(now, &candidates, random.random());
        picked.sort_by_key(|upstream| Some(*upstream) != best);
        picked.truncate(count);
        picked
    }

    /// Counts an attempt as open.
    pub fn begin_attempt(self: Arc<Self>, clock: Clock, upstream: Upstream) -> AttemptGuard {
        let begun = clock.now();
        let mut state = self.lock();
        *state.open.entry(upstream).or_insert(0) += 1;
        state.group.observe(begun, upstream, Observation::Sent);
        drop(state);
        AttemptGuard {
            members: self,
            upstream,
            clock,
            begun,
            ended: false,
        }
    }

    /// Whether the upstream is taken out of service.
    pub fn is_ejected(&self, upstream: Upstream) -> bool {
        self.lock().group.is_ejected(upstream)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn review(&mut self, now: Time) {
        if now.since(self.reviewed) < REVIEW {
            return;
        }
        self.reviewed = now;
        for change in self.group.review(now) {
            let (before, after) = (change.before, change.after);
            let upstream = change.upstream.0;
            tracing::info!(
                upstream,
                ?before,
                ?after,
                "judgement of an upstream changed"
            );
        }
    }

    fn end(&mut self, now: Time, upstream: Upstream, evidence: Observation) {
        if let Some(open) = self.open.get_mut(&upstream) {
            *open = open.saturating_sub(1);
        }
        self.group.observe(now, upstream, evidence);
    }
}

impl AttemptGuard {
    /// Ends the attempt with what it says about the upstream.
    pub fn finish(mut self, outcome: &Result<BufferedResponse, Refusal>) {
        self.ended = true;
        let now = self.clock.now();
        let taken = now.since(self.begun);
        let evidence = match outcome {
            Ok(_) => Observation::Answered(taken),
            Err(refusal) => evidence(refusal.code),
        };
        self.members.lock().end(now, self.upstream, evidence);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.clock.now();
            let mut state = self.members.lock();
            state.end(now, self.upstream, Observation::Abandoned);
        }
    }
}

fn evidence(code: Code) -> Observation {
    match code {
        Code::Shed | Code::Stopping | Code::QueueFull => Observation::Shed,
        Code::Unreachable => Observation::Failed,
        // A lost answer may be the fault of a silent connection. If nothing is
        // answered for long, that counts against the upstream by itself.
        Code::AnswerLost | Code::AnswerLate | Code::AnswerMismatched => Observation::Abandoned,
        Code::Expired | Code::NotDispatcher | Code::NoOwner => Observation::Abandoned,
        _ => Observation::ProbeAnswered,
    }
}
