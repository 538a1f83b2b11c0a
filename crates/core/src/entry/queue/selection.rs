//! Choice of the upstream that a queued request is sent to.

use std::collections::HashMap;
use std::time::Duration;

use super::{Candidate, QueuedRequest};
use crate::entry::connection_share::Shares;
use crate::entry::permit::Permits;
use crate::entry::upstream_state::UpstreamState;
use crate::ids::Upstream;
use crate::time::Time;

/// Number of requests beyond its slots up to which requests of rank 0 are sent to an
/// upstream. While several instances send to it, filling its slots exactly would leave
/// some of them idle.
pub(super) const URGENT_QUEUE_DEPTH: f64 = 2.0;

/// Number of requests beyond its slots up to which requests of other ranks are sent to
/// an upstream, unless more urgent ones arrive.
pub(super) const QUEUE_DEPTH: f64 = 1.0;

/// Fraction of an upstream's slots that is reserved for more urgent requests while a
/// service receives requests of several ranks. An upstream runs requests in order of
/// arrival, so an urgent request must find a free slot. Fractional slots are not
/// reserved, since otherwise half of an upstream with two slots would stay idle.
const RESERVED_SLOT_FRACTION: f64 = 0.3;

/// Latency added to the score of an upstream in another failure domain, for the
/// round trip and the transfer of the data.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(15);

/// Time added to the score of an upstream that this instance does not prefer, in average run
/// times of the route. Little is known of its load, and a connection may have to be opened.
/// With half as much, half as many connections again were opened at low load (`even_load`).
const SPILL_COST_RUNS: f64 = 1.0;

/// Time added to the score of the last of the preferred upstreams, in average run times of the
/// route, and to those before it by their place. Upstreams that seem alike are thus used in an
/// order of the instance's own. With 0.1 more slots were idle (`even_load`).
const ORDER_COST_RUNS: f64 = 0.3;

/// What a choice depends on.
pub(super) struct Selection<'a> {
    pub(super) now: Time,
    pub(super) request: &'a QueuedRequest,
    pub(super) candidates: &'a [Candidate],
    pub(super) upstreams: &'a HashMap<Upstream, UpstreamState>,
    pub(super) permits: &'a Permits,
    /// Upstreams that requests without a key prefer, and their places in this instance's
    /// order, from 0 to 1; empty if there is no preference.
    pub(super) preferred: &'a HashMap<Upstream, f64>,
    /// Connections that this instance may have to each upstream.
    pub(super) connections: &'a Shares,
    /// Requests of other instances per slot that upstreams of the service usually have.
    pub(super) usual_load: f64,
    /// Average run time of the route.
    pub(super) expected: Duration,
    /// Whether more urgent requests for the same service arrived recently.
    pub(super) is_outranked: bool,
}

/// Upstream that a request is sent to, if there is one.
pub(super) struct Choice {
    pub(super) candidate: Option<Candidate>,
    /// Without a candidate: the best upstream that lacks only a permit.
    pub(super) limited: Option<Upstream>,
}

/// Chooses the candidate with capacity and a permit that is expected to answer first.
pub(super) fn choose(selection: &Selection<'_>) -> Choice {
    let Selection { now, request, .. } = *selection;
    let is_keyed = request.key.is_some();
    let mut best: Option<(f64, Candidate)> = None;
    let mut best_limited: Option<(f64, Upstream)> = None;
    for candidate in selection.candidates {
        let upstream = candidate.upstream;
        let initial = UpstreamState::new(candidate.slots);
        let state = selection.upstreams.get(&upstream).unwrap_or(&initial);
        if state.in_flight() >= selection.connections.of(upstream) {
            continue;
        }
        let depth = match (request.rank, selection.is_outranked) {
            (0, _) => URGENT_QUEUE_DEPTH,
            (_, true) => -f64::from(state.slots()) * RESERVED_SLOT_FRACTION,
            (_, false) => QUEUE_DEPTH,
        };
        let is_spill = !is_keyed
            && !selection.preferred.is_empty()
            && !selection.preferred.contains_key(&upstream);
        let occupancy = state.occupancy_among(now, selection.usual_load);
        if occupancy >= f64::from(state.slots()) + depth
            || state.paused_until(now).is_some()
            || (!is_keyed && request.tried.contains(&upstream))
        {
            continue;
        }
        let mut score = score(now, state, occupancy, candidate, selection.expected);
        let place = selection.preferred.get(&upstream).copied().unwrap_or(0.0);
        let place_runs = match is_spill {
            true => SPILL_COST_RUNS,
            false => place * ORDER_COST_RUNS,
        };
        score += selection.expected.as_secs_f64() * place_runs;
        if !selection.permits.may_send(now, upstream) {
            if best_limited.is_none_or(|(lowest, _)| score < lowest) {
                best_limited = Some((score, upstream));
            }
            continue;
        }
        if selection.permits.is_probe_due(now, upstream) {
            score = 0.0;
        }
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, *candidate));
        }
    }
    Choice {
        candidate: best.map(|(_, candidate)| candidate),
        limited: best_limited.map(|(_, upstream)| upstream),
    }
}

/// Expected time to a response in seconds, with penalties; lower is better.
fn score(
    now: Time,
    state: &UpstreamState,
    occupancy: f64,
    candidate: &Candidate,
    expected: Duration,
) -> f64 {
    let utilization = (occupancy + 1.0) / f64::from(state.slots());
    let run_time = state.current_run_time(now);
    let mut seconds = expected.as_secs_f64() * run_time * utilization.max(1.0);
    // An upstream slows down as it fills up, so less loaded ones are preferred.
    seconds += expected.as_secs_f64() * 0.2 * utilization.min(1.0);
    if candidate.cross_domain {
        seconds += CROSS_DOMAIN_COST.as_secs_f64();
    }
    if candidate.warming_up {
        seconds *= 2.0;
    }
    if state.is_penalized(now) || candidate.doubtful {
        seconds += 10.0;
    }
    seconds
}
