//! JSON bodies of the control API, shared by the server and `medlarctl`.

use medlarreel_core::code::Code;
use medlarreel_macros::data;

use super::advice::advice;

/// Body of `POST /control/publish`.
#[data(value)]
pub struct PublishRequest {
    /// Name of the preset.
    pub name: String,
    /// Current version as seen by the operator; 0 if never published.
    pub expected: u32,
    /// Text of the preset.
    pub text: String,
    /// Proposal id chosen by the client, so that the outcome can be queried if the
    /// response is lost.
    #[serde(default)]
    pub proposal: Option<u64>,
}

/// Body of `POST /control/activate`.
#[data(value)]
pub struct ActivateRequest {
    /// Name of the preset.
    pub name: String,
    /// Version of the preset; only the current version can be activated.
    pub version: u32,
    /// Number of activations as seen by the operator.
    pub expected: u32,
    /// Proposal id chosen by the client, so that the outcome can be queried if the
    /// response is lost.
    #[serde(default)]
    pub proposal: Option<u64>,
}

/// Body of `POST /control/release`; exactly one of `upstream` and `domain` is given.
#[data(value)]
#[derive(Default)]
pub struct ReleaseRequest {
    /// Upstream that is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Failure domain that is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<String>,
    /// Proposal id chosen by the client, so that the outcome can be queried if the
    /// response is lost.
    #[serde(default)]
    pub proposal: Option<u64>,
}

/// Result of applying a proposal.
#[data(key)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The change was applied.
    Accepted,
    /// The change has no effect.
    Rejected,
    /// The record has not been read back from the log, or its outcome is no longer kept.
    Unknown,
}

/// Response to an action or to `GET /control/proposal`.
#[data(key)]
pub struct ProposalOutcome {
    /// Id of the proposal.
    pub proposal: u64,
    /// Result of the proposal.
    pub outcome: Verdict,
    /// Number of the result code that explains a rejected or unknown proposal; `None` if
    /// it was accepted.
    #[serde(default)]
    pub code: Option<u16>,
    /// Offset of the record, once it has been read back.
    #[serde(default)]
    pub offset: Option<u64>,
}

/// Response to a refused request.
#[data(value)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: u16,
    /// Description of the error.
    pub text: String,
    /// Recommended next step.
    pub hint: String,
}

impl From<Code> for ErrorBody {
    fn from(code: Code) -> ErrorBody {
        ErrorBody {
            code: code.number(),
            text: code.text().to_owned(),
            hint: advice(code).to_owned(),
        }
    }
}

/// Current version of a published preset.
#[data(value)]
pub struct PublishedPreset {
    /// Name of the preset.
    pub name: String,
    /// Current version.
    pub version: u32,
    /// Text of that version.
    pub text: String,
}

/// Response to `GET /control/presets`.
#[data(value)]
pub struct PresetList {
    /// Presets, ordered by name.
    pub presets: Vec<PublishedPreset>,
}

/// Accepted change in the audit trail.
#[data(value)]
pub struct AuditEntry {
    /// Offset of the record that made the change.
    pub offset: u64,
    /// What changed.
    pub subject: String,
    /// Why it changed.
    pub cause: String,
    /// Former value; may be empty, as for a first activation.
    pub before: String,
    /// New value.
    pub after: String,
}

/// Response to `GET /control/audit`.
#[data(value)]
pub struct AuditTrail {
    /// Changes that the instance still keeps, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Response to `GET /control/owner`.
#[data(value)]
pub struct KeyOwner {
    /// Service of the key.
    pub service: String,
    /// Shard of the key; never `None`, because queries for services that are not keyed
    /// are refused.
    pub shard: Option<u16>,
    /// Upstream that owns the shard; `None` if it has no owner.
    pub owner: Option<String>,
    /// Upstream that takes over while the log is unavailable; `None` if the shard has no
    /// standby.
    pub standby: Option<String>,
    /// Peer address of the owner's preferred dispatcher; `None` if the shard has no owner
    /// or no address is known.
    pub dispatcher: Option<String>,
    /// Latest change of the service's plan; `None` if the audit trail keeps none.
    pub placed: Option<AuditEntry>,
}
