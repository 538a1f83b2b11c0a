//! Probes of upstreams that are to get their first keys.
//!
//! Keys are taken from their holder only for an upstream that has answered under its id.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use medlarreel_core::entry::directory::Directory;
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use crate::identity::{self, Claim};
use crate::platform::headers;
use crate::state::State;

/// Upstreams that were probed by this instance as the leader.
#[derive(Debug, Default)]
pub(super) struct Probes {
    outcomes: RefCell<HashMap<Upstream, Outcome>>,
    /// Whether an upstream has answered since the last look.
    has_news: Cell<bool>,
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// It has answered under its id. This holds for its incarnation.
    Answered,
    /// It has not answered the probe that was sent at this time.
    Unanswered(Time),
}

impl Probes {
    /// Whether an incarnation of an upstream has answered. Probes it if it has not.
    pub(super) fn check(
        self: &Rc<Self>,
        state: &Rc<State>,
        upstream: Upstream,
        claim: Claim,
    ) -> bool {
        let now = state.clock.now();
        match self.outcomes.borrow().get(&upstream) {
            Some(Outcome::Answered) => return true,
            Some(Outcome::Unanswered(sent)) if now.since(*sent) < identity::INTERVAL => {
                return false;
            }
            _ => {}
        }
        let unanswered = Outcome::Unanswered(now);
        self.outcomes.borrow_mut().insert(upstream, unanswered);
        let (probes, state) = (Rc::clone(self), Rc::clone(state));
        tokio::task::spawn_local(async move {
            match identity::verify(&state, upstream, &claim).await {
                Ok((connection, headers)) => {
                    let now = state.clock.now();
                    let answered = Outcome::Answered;
                    probes.outcomes.borrow_mut().insert(upstream, answered);
                    probes.has_news.set(true);
                    if let Some(left) = headers::parse_warmup(&headers) {
                        let mut directory = state.directory.borrow_mut();
                        directory.record_warmup(now, upstream, left);
                    }
                    state
                        .order_pool
                        .put_idle(now, upstream, connection, &headers, 1);
                }
                Err(error) => {
                    let (id, address) = (claim.id, claim.address);
                    tracing::info!(upstream = id, %address, %error, "upstream gets no keys yet");
                }
            }
        });
        false
    }

    /// Forgets the outcomes of upstreams that have ended or that are displaced.
    pub(super) fn forget_ended(&self, directory: &Directory) {
        let mut outcomes = self.outcomes.borrow_mut();
        outcomes.retain(|upstream, _| !directory.has_ended(*upstream));
    }

    /// Whether an upstream has answered since the last call.
    pub(super) fn take_news(&self) -> bool {
        self.has_news.take()
    }
}
