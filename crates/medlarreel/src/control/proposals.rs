//! Operators' proposals that wait for their fate.

use std::time::Duration;

use medlarreel_core::code::Code;
use medlarreel_core::fold::{Settled, State};
use medlarreel_core::ids::{Offset, Proposal};
use medlarreel_core::record::{Body, Record};
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

/// A proposal that has not been read back by then is reported as unknown.
const WAIT: Duration = Duration::from_secs(5);

/// Fate of a proposal, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The proposal.
    pub proposal: Proposal,
    /// Where its record stands; `None` while it has not been read back.
    pub offset: Option<Offset>,
    /// Why it was rejected.
    pub rejected: Option<Code>,
}

impl Verdict {
    /// Fate that is not known yet.
    pub fn unknown(proposal: Proposal) -> Verdict {
        Verdict { proposal, offset: None, rejected: None }
    }
}

impl From<Settled> for Verdict {
    fn from(settled: Settled) -> Verdict {
        let Settled { proposal, offset, rejected } = settled;
        Verdict { proposal, offset: Some(offset), rejected }
    }
}

/// Proposals without a known fate.
#[derive(Debug, Default)]
pub(super) struct Proposals(Vec<Waiting>);

#[derive(Debug)]
struct Waiting {
    proposal: Proposal,
    until: Time,
    reply: oneshot::Sender<Verdict>,
}

impl Proposals {
    /// Gives the body an identity and waits for its fate.
    pub(super) fn open(
        &mut self,
        now: Time,
        body: Body,
        reply: oneshot::Sender<Verdict>,
    ) -> Record {
        // Identities travel as JSON numbers, which are exact only below 2^53.
        let proposal = Proposal(rand::random::<u64>() >> 11);
        self.0.push(Waiting { proposal, until: now + WAIT, reply });
        Record { proposal, body }
    }

    /// Answers the proposals whose fate is known or whose time is over.
    pub(super) fn settle(&mut self, now: Time, state: &State) {
        let mut index = 0;
        while index < self.0.len() {
            let waiting = &self.0[index];
            let settled = state.settled(waiting.proposal).map(Verdict::from);
            let over = (now >= waiting.until).then(|| Verdict::unknown(waiting.proposal));
            match settled.or(over) {
                Some(verdict) => drop(self.0.swap_remove(index).reply.send(verdict)),
                None => index += 1,
            }
        }
    }
}
