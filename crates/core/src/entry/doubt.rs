//! Ranges of keys whose recorded owner has refused a request.
//!
//! The owner map lags behind the upstreams: a lease may have lapsed, or a change of the
//! owner may not have arrived yet. Until the map changes, further requests for the range
//! wait instead of being refused as well, since each refusal uses up the retry budget.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Upstream;
use crate::time::Time;

/// Time for which requests wait after the first refusal, unless the map changes before.
/// Most changes arrive within this time; a lapsed lease is renewed about as fast.
const FIRST_DOUBT: Duration = Duration::from_millis(150);

/// Maximum time for which requests wait after repeated refusals. It doubles with each.
const MAX_DOUBT: Duration = Duration::from_millis(1_200);

/// Time after a doubt has ended from which a refusal counts as the first one again.
const DOUBT_MEMORY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Doubt {
    until: Time,
    duration: Duration,
}

/// Doubted ranges, by owner and first key.
#[derive(Debug, Default)]
pub struct Doubts {
    ranges: HashMap<(Upstream, u16), Doubt>,
}

impl Doubts {
    /// Records that the owner of the range that starts at `first` has refused a request
    /// for one of its keys. Refusals of requests that were sent before an earlier one was
    /// known do not prolong the doubt.
    pub fn record(&mut self, now: Time, owner: Upstream, first: u16) {
        self.ranges
            .retain(|_, doubt| now < doubt.until + DOUBT_MEMORY);
        let known = self.ranges.get(&(owner, first)).copied();
        if known.is_some_and(|doubt| now < doubt.until) {
            return;
        }
        let duration = known.map_or(FIRST_DOUBT, |doubt| (doubt.duration * 2).min(MAX_DOUBT));
        let until = now + duration;
        self.ranges
            .insert((owner, first), Doubt { until, duration });
    }

    /// Records that the owner has run a request for the range.
    pub fn clear(&mut self, owner: Upstream, first: u16) {
        self.ranges.remove(&(owner, first));
    }

    /// Time until which requests for the range wait; `None` if they need not.
    pub fn until(&self, now: Time, owner: Upstream, first: u16) -> Option<Time> {
        let doubt = self.ranges.get(&(owner, first))?;
        (now < doubt.until).then_some(doubt.until)
    }
}
