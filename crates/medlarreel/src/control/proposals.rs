//! Operators' proposals whose outcomes are not known yet.

use std::time::Duration;

use medlarreel_core::code::Code;
use medlarreel_core::fold::{ProposalOutcome, State};
use medlarreel_core::ids::{Offset, Proposal};
use medlarreel_core::time::Time;
use tokio::sync::oneshot;

/// Time within which a proposal must be read back from the log. After it, the outcome is
/// reported as unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a proposal, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalStatus {
    /// Id of the proposal.
    pub proposal: Proposal,
    /// Log offset of its record; `None` if the record has not been read back or its
    /// outcome is no longer kept.
    pub offset: Option<Offset>,
    /// Reason for the rejection, if it was rejected.
    pub rejected: Option<Code>,
}

impl ProposalStatus {
    /// Creates the status of a proposal whose outcome is not known.
    pub fn unknown(proposal: Proposal) -> ProposalStatus {
        ProposalStatus {
            proposal,
            offset: None,
            rejected: None,
        }
    }
}

impl From<ProposalOutcome> for ProposalStatus {
    fn from(outcome: ProposalOutcome) -> ProposalStatus {
        let ProposalOutcome {
            proposal,
            offset,
            rejected,
        } = outcome;
        ProposalStatus {
            proposal,
            offset: Some(offset),
            rejected,
        }
    }
}

/// Generates a random proposal id.
pub(super) fn new_id() -> Proposal {
    // Ids are transferred as JSON numbers, which are exact only below 2^53.
    Proposal(rand::random::<u64>() >> 11)
}

/// Proposals whose outcomes are not known yet.
#[derive(Debug, Default)]
pub(super) struct PendingProposals(Vec<PendingProposal>);

#[derive(Debug)]
struct PendingProposal {
    proposal: Proposal,
    deadline: Time,
    reply: oneshot::Sender<ProposalStatus>,
}

impl PendingProposals {
    /// Adds a proposal whose status is to be sent to `reply`.
    pub(super) fn add(
        &mut self,
        now: Time,
        proposal: Proposal,
        reply: oneshot::Sender<ProposalStatus>,
    ) {
        self.0.push(PendingProposal {
            proposal,
            deadline: now + OUTCOME_TIMEOUT,
            reply,
        });
    }

    /// Replies to the proposals whose outcome is known or whose deadline has passed.
    pub(super) fn resolve(&mut self, now: Time, state: &State) {
        let mut index = 0;
        while index < self.0.len() {
            let pending = &self.0[index];
            let outcome = state
                .proposal_outcome(pending.proposal)
                .map(ProposalStatus::from);
            let expired =
                (now >= pending.deadline).then(|| ProposalStatus::unknown(pending.proposal));
            match outcome.or(expired) {
                Some(status) => drop(self.0.swap_remove(index).reply.send(status)),
                None => index += 1,
            }
        }
    }
}
