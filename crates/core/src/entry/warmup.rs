//! Rate at which all instances together may send requests to a cold upstream.
//!
//! A service names the rate that its cold upstreams take. The settings bound what may reach
//! one in any second: the rate times an overage, plus a slack. Requests are sent by permits
//! alone (`permit`), which the leader grants (`limiter`) at a `Pace`:
//!
//! - A request that reaches the upstream within a second had its permit granted within
//!   `GRANT_SPAN` before the end of that second: a permit ends `PERMIT_LIFETIME` after its
//!   grant, and its request is sent at most `MAX_SEND_DELAY` later or gives it up.
//! - Permits are granted one at a time, with nothing saved up while nobody asks, so that at
//!   most `floor(pace * GRANT_SPAN) + 1` are granted in that span. A leader starts with
//!   nothing, so that this holds across a change of the leader.
//! - A leader that has not written to the store for a while may have a successor already. It
//!   grants at a pace of its own, so that both together stay within the bound.
//! - Without a leader there are no permits. An instance that can't reach it sends nothing to
//!   cold upstreams; they are warm within seconds, or others serve them.

use std::time::Duration;

use medlarreel_macros::data;

use super::directory::Directory;
use super::permit::Rate;
use super::routes::RouteTable;
use crate::ids::Upstream;
use crate::time::{Time, max_with_drift};

/// Time after its grant for which a permit for a cold upstream may be used. A round trip to
/// the leader takes a few milliseconds; on a congested link, permits end unused.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(200);

/// Longest time from the use of a permit until the request is sent, which is the time for a
/// new connection. A connection takes two round trips of a few milliseconds.
pub const MAX_SEND_DELAY: Duration = Duration::from_millis(100);

/// Window over which requests to a cold upstream are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Span within which the permits were granted that can be used within `WINDOW`.
const GRANT_SPAN: Duration = Duration::from_millis(1_300);

/// One in this number of the requests that may reach an upstream within `WINDOW` is left to a
/// leader that may have been replaced.
const UNCERTAIN_PART: u64 = 4;

/// Rates at which permits for a cold upstream are granted.
#[data(key)]
pub struct Pace {
    /// By a leader that is known to be the only one.
    pub certain: Rate,
    /// By a leader that may have been replaced.
    pub uncertain: Rate,
}

impl Pace {
    /// Pace for upstreams that take `rate`, of which no second may see more than
    /// `rate * overage + slack` requests.
    pub fn new(rate: Rate, overage: f64, slack: f64) -> Pace {
        let allowed = (rate.per_second() * overage + slack).clamp(0.0, 1e9) as u64;
        let for_uncertain = allowed / UNCERTAIN_PART;
        Pace {
            certain: rate.min(highest_rate(allowed - for_uncertain)),
            uncertain: rate.min(highest_rate(for_uncertain)),
        }
    }
}

/// Highest rate at which no more than `count` permits can be granted in `GRANT_SPAN`.
fn highest_rate(count: u64) -> Rate {
    let span = max_with_drift(GRANT_SPAN).as_secs_f64();
    Rate(((count * 1_000) as f64 / span) as u64)
}

/// State of a cold upstream of a service that names a rate.
#[data(key)]
pub struct Cold {
    /// Rates at which permits are granted.
    pub pace: Pace,
    /// Time at which the upstream is warm.
    pub until: Time,
}

/// Cold upstreams of services that name a rate.
pub fn cold_upstreams(
    now: Time,
    directory: &Directory,
    routes: &RouteTable,
    overage: f64,
    slack: f64,
) -> Vec<(Upstream, Cold)> {
    let cold = directory.cold(now).filter_map(|(upstream, record)| {
        let service = routes.service(&record.registration.service)?;
        let cold = Cold {
            pace: Pace::new(service.warmup_rate?, overage, slack),
            until: record.warm_at,
        };
        Some((upstream, cold))
    });
    cold.collect()
}

const _: () = assert!(
    GRANT_SPAN.as_millis()
        == WINDOW.as_millis() + PERMIT_LIFETIME.as_millis() + MAX_SEND_DELAY.as_millis()
);
