//! Load balancing for services that are not keyed.
//!
//! Each instance tracks upstream health from its own attempts, and sends each request
//! to the less loaded of two randomly chosen upstreams.

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

/// Number of upstreams compared for each request.
const COMPARED_UPSTREAMS: usize = 2;

/// Minimum interval between health reviews of a service's upstreams.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Load balancer for all services that are not keyed.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    services: ArcSwap<HashMap<Service, Arc<ServiceUpstreams>>>,
}

/// Health, load and open attempts of one service's upstreams.
#[derive(Debug)]
pub struct ServiceUpstreams(Mutex<State>);

#[derive(Debug)]
struct State {
    group: UpstreamGroup,
    /// Number of open attempts of this instance, by upstream.
    open_attempts: HashMap<Upstream, u32>,
    last_review: Time,
}

/// Guard of an open attempt. Dropping it unfinished counts the attempt as abandoned.
#[derive(Debug)]
pub struct AttemptGuard {
    upstreams: Arc<ServiceUpstreams>,
    upstream: Upstream,
    clock: Clock,
    started: Time,
    finished: bool,
}

impl LoadBalancer {
    /// Updates the services and their upstreams from a new snapshot.
    pub fn update(&self, now: Time, snapshot: &Snapshot) {
        let known = self.services.load();
        let routes = snapshot.state.services().iter();
        let routes = routes.filter_map(|service| snapshot.table.route(&service.name));
        let unkeyed = routes.filter(|route| !route.limits.keyed);
        let services = unkeyed.map(|route| {
            let upstreams = known.get(&route.service).cloned();
            let upstreams = upstreams.unwrap_or_else(|| Arc::new(ServiceUpstreams::new(now)));
            upstreams.update(now, &route.upstreams);
            (route.service, upstreams)
        });
        let services = services.collect();
        self.services.store(Arc::new(services));
    }

    /// Returns the upstreams of the service; `None` if it is keyed or unknown.
    pub fn upstreams(&self, service: Service) -> Option<Arc<ServiceUpstreams>> {
        self.services.load().get(&service).cloned()
    }
}

impl ServiceUpstreams {
    fn new(now: Time) -> ServiceUpstreams {
        ServiceUpstreams(Mutex::new(State {
            group: UpstreamGroup::new(Thresholds::default()),
            open_attempts: HashMap::new(),
            last_review: now,
        }))
    }

    fn update(&self, now: Time, upstreams: &[Upstream]) {
        let mut state = self.lock();
        // Upstreams in the first snapshot were already running, so they are not cold.
        let cold = !state.open_attempts.is_empty();
        let known: Vec<_> = state.open_attempts.keys().copied().collect();
        for upstream in known
            .into_iter()
            .filter(|upstream| !upstreams.contains(upstream))
        {
            state.group.remove(upstream);
            state.open_attempts.remove(&upstream);
        }
        for upstream in upstreams {
            state.group.add(now, *upstream, cold);
            state.open_attempts.entry(*upstream).or_insert(0);
        }
    }

    /// Returns up to `count` of the `upstreams`, in the order in which to try them.
    /// Ejected ones are included only if all are ejected.
    pub fn choose(&self, now: Time, upstreams: &[Upstream], count: usize) -> Vec<Upstream> {
        let mut state = self.lock();
        state.review(now);
        let serving = |upstream: &&Upstream| !state.group.is_ejected(**upstream);
        let serving: Vec<_> = upstreams.iter().filter(serving).copied().collect();
        // At most a third is ejected, but the others may have been removed since the last
        // review.
        let eligible = if serving.is_empty() {
            upstreams
        } else {
            &serving[..]
        };
        let mut random = rand::rng();
        let sample_size = count.max(COMPARED_UPSTREAMS).min(eligible.len());
        let picked = rand::seq::index::sample(&mut random, eligible.len(), sample_size);
        let mut picked: Vec<_> = picked.into_iter().map(|index| eligible[index]).collect();
        let compared: Vec<_> = picked.iter().take(COMPARED_UPSTREAMS).collect();
        let candidates = compared.into_iter().map(|upstream| Candidate {
            upstream: *upstream,
            local_load: state.open_attempts.get(upstream).copied().unwrap_or(0),
            reported_load: None,
        });
        let candidates: Vec<_> = candidates.collect();
        let best = state.group.choose(now, &candidates, random.random());
        picked.sort_by_key(|upstream| Some(*upstream) != best);
        picked.truncate(count);
        picked
    }

    /// Counts an attempt as open until the returned guard is finished or dropped.
    pub fn begin_attempt(self: Arc<Self>, clock: Clock, upstream: Upstream) -> AttemptGuard {
        let started = clock.now();
        let mut state = self.lock();
        *state.open_attempts.entry(upstream).or_insert(0) += 1;
        state.group.observe(started, upstream, Observation::Sent);
        drop(state);
        AttemptGuard {
            upstreams: self,
            upstream,
            clock,
            started,
            finished: false,
        }
    }

    /// Returns whether the upstream is ejected, as of the last review.
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
        if now.since(self.last_review) < REVIEW_INTERVAL {
            return;
        }
        self.last_review = now;
        for change in self.group.review(now) {
            let (before, after) = (change.before, change.after);
            let upstream = change.upstream.0;
            tracing::info!(upstream, ?before, ?after, "upstream health changed");
        }
    }

    fn finish(&mut self, now: Time, upstream: Upstream, observation: Observation) {
        if let Some(open) = self.open_attempts.get_mut(&upstream) {
            *open = open.saturating_sub(1);
        }
        self.group.observe(now, upstream, observation);
    }
}

impl AttemptGuard {
    /// Ends the attempt and records what its outcome says about the upstream.
    pub fn finish(mut self, outcome: &Result<BufferedResponse, Refusal>) {
        self.finished = true;
        let now = self.clock.now();
        let elapsed = now.since(self.started);
        let observation = match outcome {
            Ok(_) => Observation::Answered(elapsed),
            Err(refusal) => observation_for(refusal.code),
        };
        self.upstreams
            .lock()
            .finish(now, self.upstream, observation);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.clock.now();
            let mut state = self.upstreams.lock();
            state.finish(now, self.upstream, Observation::Abandoned);
        }
    }
}

fn observation_for(code: Code) -> Observation {
    match code {
        Code::Shed | Code::Stopping | Code::QueueFull => Observation::Shed,
        Code::Unreachable => Observation::Failed,
        // Not counted as an error of the upstream: the cause may be a single silent
        // connection. A long time without any response is counted separately.
        Code::AnswerLost | Code::AnswerLate | Code::AnswerMismatched => Observation::Abandoned,
        Code::Expired | Code::NotDispatcher | Code::NoOwner => Observation::Abandoned,
        _ => Observation::ProbeAnswered,
    }
}
