//! JSON bodies of the control API, shared by instances and `medlarctl`.

use medlarreel_core::code::Code;
use medlarreel_macros::data;

use super::advice::advice;

/// Body of `POST /control/publish`.
#[data(value)]
pub struct PublishRequest {
    /// Name of the preset.
    pub name: String,
    /// Version that the operator saw; 0 for none.
    pub expected: u32,
    /// Text of the preset.
    pub text: String,
    /// Id chosen by the caller, so that a lost answer can be asked for again.
    #[serde(default)]
    pub proposal: Option<u64>,
}

/// Body of `POST /control/activate`.
#[data(value)]
pub struct ActivateRequest {
    /// Name of the preset.
    pub name: String,
    /// Version of the preset.
    pub version: u32,
    /// Activation count that the operator saw.
    pub expected: u32,
    /// Id chosen by the caller, so that a lost answer can be asked for again.
    #[serde(default)]
    pub proposal: Option<u64>,
}

/// Body of `POST /control/release`; exactly one of the names is given.
#[data(value)]
#[derive(Default)]
pub struct ReleaseRequest {
    /// Upstream that is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Failure domain that is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<String>,
    /// Id chosen by the caller, so that a lost answer can be asked for again.
    #[serde(default)]
    pub proposal: Option<u64>,
}

/// What the fold decided about a proposal.
#[data(key)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The change is in force.
    Accepted,
    /// The change has no effect.
    Rejected,
    /// The record has not been read back yet.
    Unknown,
}

/// Answer to an action or to `GET /control/proposal`.
#[data(key)]
pub struct ProposalOutcome {
    /// The proposal.
    pub proposal: u64,
    /// What became of it.
    pub outcome: Verdict,
    /// Why it was rejected or is unknown.
    #[serde(default)]
    pub code: Option<u16>,
    /// Offset of its record, once read back.
    #[serde(default)]
    pub offset: Option<u64>,
}

/// Answer to a request that was refused.
#[data(value)]
pub struct ErrorBody {
    /// Number of the result code.
    pub code: u16,
    /// What happened.
    pub text: String,
    /// What to do about it.
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

/// A published preset.
#[data(value)]
pub struct PublishedPreset {
    /// Name of the preset.
    pub name: String,
    /// Current version.
    pub version: u32,
    /// Text of that version.
    pub text: String,
}

/// Answer to `GET /control/presets`.
#[data(value)]
pub struct PresetList {
    /// Presets by name.
    pub presets: Vec<PublishedPreset>,
}

/// An accepted change.
#[data(value)]
pub struct AuditEntry {
    /// Offset of the record that made the change.
    pub offset: u64,
    /// What changed.
    pub subject: String,
    /// Why it changed.
    pub cause: String,
    /// Former value.
    pub before: String,
    /// New value.
    pub after: String,
}

/// Answer to `GET /control/audit`.
#[data(value)]
pub struct AuditTrail {
    /// Changes, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Answer to `GET /control/owner`.
#[data(value)]
pub struct KeyOwner {
    /// Service of the key.
    pub service: String,
    /// Shard of the key; `None` for services that are not keyed.
    pub shard: Option<u16>,
    /// Upstream that owns the shard.
    pub owner: Option<String>,
    /// Upstream that takes over while the log is unavailable.
    pub standby: Option<String>,
    /// Peer address of the owner's dispatcher.
    pub dispatcher: Option<String>,
    /// Change that placed the shard.
    pub placed: Option<AuditEntry>,
}
