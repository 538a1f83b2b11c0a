//! Commands that submit proposals or query their outcome.

use std::path::Path;

use medlarreel_core::code::Code;
use medlarreel_core::preset::Preset;
use serde::Serialize;
use serde_json::json;

use super::client::{Client, RequestError, Response};
use super::{CommandError, Report};
use crate::operators::Status;
use crate::operators::api::{
    ActivateRequest, ErrorBody, PresetList, ProposalOutcome, PublishRequest, ReleaseRequest,
};
use crate::settings::{InvalidFileError, read_text};

/// Publishes the preset in a file as the next version.
pub async fn publish(client: &Client, file: &str) -> Result<Report, CommandError> {
    let text = read_text(Path::new(file))
        .map_err(|mistake| CommandError::unreadable_file(file, &mistake))?;
    let preset = Preset::parse(&text).map_err(|mistakes| {
        CommandError::invalid_file(InvalidFileError {
            file: file.to_owned(),
            mistakes,
        })
    })?;
    let expected = current_version(client, &preset.name).await?.unwrap_or(0);
    let proposal = new_proposal_id();
    let body = PublishRequest {
        name: preset.name.clone(),
        expected,
        text,
        proposal: Some(proposal),
    };
    let success_text = format!("preset {} version {} published", preset.name, expected + 1);
    send_proposal(client, "publish", &body, proposal, &success_text).await
}

/// Activates a published preset; the current version if `version` is `None`.
pub async fn activate(
    client: &Client,
    name: &str,
    version: Option<u32>,
) -> Result<Report, CommandError> {
    let version = match version {
        Some(version) => version,
        None => {
            let current = current_version(client, name).await?;
            current.ok_or_else(|| CommandError::unknown_preset(name))?
        }
    };
    let status: Status = client.get("/control/status").await?;
    let proposal = new_proposal_id();
    let body = ActivateRequest {
        name: name.to_owned(),
        version,
        expected: status.activations,
        proposal: Some(proposal),
    };
    let success_text = format!("preset {name} version {version} activated");
    send_proposal(client, "activate", &body, proposal, &success_text).await
}

/// Asserts that an upstream or failure domain is gone, so that its shards may move.
pub async fn release_shards(
    client: &Client,
    upstream: Option<String>,
    domain: Option<String>,
) -> Result<Report, CommandError> {
    let success_text = match (&upstream, &domain) {
        (Some(name), _) => format!("upstream {name} released"),
        (None, name) => format!("failure domain {} released", name.as_deref().unwrap_or("")),
    };
    let proposal = new_proposal_id();
    let body = ReleaseRequest {
        upstream,
        domain,
        proposal: Some(proposal),
    };
    send_proposal(client, "release", &body, proposal, &success_text).await
}

/// Shows the outcome of a proposal.
pub async fn proposal_outcome(client: &Client, id: u64) -> Result<Report, CommandError> {
    let outcome: ProposalOutcome = client.get(&format!("/control/proposal?id={id}")).await?;
    report_outcome(outcome, "proposal accepted")
}

async fn send_proposal(
    client: &Client,
    action: &str,
    body: &impl Serialize,
    proposal: u64,
    success_text: &str,
) -> Result<Report, CommandError> {
    match client.post(&format!("/control/{action}"), body).await {
        Ok(response) => interpret_response(client, &response, proposal, success_text),
        Err(RequestError::NotSent(detail)) => {
            Err(CommandError::unreachable(client.instance(), &detail))
        }
        Err(RequestError::NoResponse(detail)) => {
            Err(CommandError::outcome_unknown(proposal, &detail))
        }
    }
}

fn interpret_response(
    client: &Client,
    response: &Response,
    proposal: u64,
    success_text: &str,
) -> Result<Report, CommandError> {
    if let Ok(outcome) = serde_json::from_slice::<ProposalOutcome>(&response.body) {
        return report_outcome(outcome, success_text);
    }
    // With these codes the append to the log may have taken effect all the same.
    let uncertain_codes = [
        Code::LogUnavailable.number(),
        Code::ProposalUnknown.number(),
    ];
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(failure) if uncertain_codes.contains(&failure.code) => {
            Err(CommandError::outcome_unknown(proposal, &failure.text))
        }
        Ok(failure) => Err(CommandError::refused(failure)),
        Err(_) if response.status.is_client_error() => Err(client.response_error(response)),
        Err(_) => {
            let detail = format!("status {} without an outcome", response.status.as_u16());
            Err(CommandError::outcome_unknown(proposal, &detail))
        }
    }
}

fn report_outcome(outcome: ProposalOutcome, success_text: &str) -> Result<Report, CommandError> {
    if let Some(error) = CommandError::from_outcome(outcome) {
        return Err(error);
    }
    let offset = outcome
        .offset
        .map_or(String::new(), |offset| format!(", offset {offset}"));
    let text = format!("{success_text} (proposal {}{offset})\n", outcome.proposal);
    let json = json!({
        "proposal": outcome.proposal,
        "outcome": "accepted",
        "offset": outcome.offset,
    });
    Ok(Report::success(text, json))
}

/// Current version of a preset; `None` if it was never published.
async fn current_version(client: &Client, name: &str) -> Result<Option<u32>, CommandError> {
    let presets: PresetList = client.get("/control/presets").await?;
    let mut presets = presets.presets.iter();
    let found = presets.find(|preset| preset.name == name);
    Ok(found.map(|preset| preset.version))
}

/// Generates a proposal id below 2^53, which JSON parsers that use doubles keep exact.
fn new_proposal_id() -> u64 {
    rand::random::<u64>() >> 11
}
