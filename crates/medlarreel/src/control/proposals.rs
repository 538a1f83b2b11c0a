//! Operators' proposals that wait for their fate.

use std::time::Duration;

use medlarreel_core::code::Code;
use medlarreel_core::fold::{ProposalOutcome, State};
use medlarreel_core::ids::{Offset, Proposal};
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

/// A proposal that has not been read back by then is reported as unknown.
const WAIT: Duration = Duration::from_secs(5);

/// Fate of a proposal, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalStatus {
    /// The proposal.
    pub proposal: Proposal,
    /// Where its record stands; `None` while it has not been read back.
    pub offset: Option<Offset>,
    /// Why it was rejected.
    pub rejected: Option<Code>,
}

impl ProposalStatus {
    /// Fate that is not known yet.
    pub fn unknown(proposal: Proposal) -> ProposalStatus {
        ProposalStatus {
            proposal,
            offset: None,
            rejected: None,
        }
    }
}

impl From<ProposalOutcome> for ProposalStatus {
    fn from(settled: ProposalOutcome) -> ProposalStatus {
        let ProposalOutcome {
            proposal,
            offset,
            rejected,
        } = settled;
        ProposalStatus {
            proposal,
            offset: Some(offset),
            rejected,
        }
    }
}

/// New identity for a proposal.
pub(super) fn fresh() -> Proposal {
    // Identities travel as JSON numbers, which are exact only below 2^53.
    Proposal(rand::random::<u64>() >> 11)
}

/// Proposals without a known fate.
#[derive(Debug, Default)]
pub(super) struct Proposals(Vec<Waiting>);

#[derive(Debug)]
struct Waiting {
    proposal: Proposal,
    until: Time,
    reply: oneshot::Sender<ProposalStatus>,
}

impl Proposals {
    /// Waits for the fate of a proposal.
    pub(super) fn open(
        &mut self,
        now: Time,
        proposal: Proposal,
        reply: oneshot::Sender<ProposalStatus>,
    ) {
        self.0.push(Waiting {
            proposal,
            until: now + WAIT,
            reply,
        });
    }

    /// Answers the proposals whose fate is known or whose time is over.
    pub(super) fn settle(&mut self, now: Time, state: &State) {
        let mut index = 0;
        while index < self.0.len() {
            let waiting = &self.0[index];
            let settled = state
                .proposal_outcome(waiting.proposal)
                .map(ProposalStatus::from);
            let over = (now >= waiting.until).then(|| ProposalStatus::unknown(waiting.proposal));
            match settled.or(over) {
                Some(fate) => drop(self.0.swap_remove(index).reply.send(fate)),
                None => index += 1,
            }
        }
    }
}
