//! Commands that propose a change.

use std::path::Path;

use medlarreel_core::code::Code;
use medlarreel_core::preset::Preset;
use serde::Serialize;
use serde_json::json;

use super::client::{Answer, Client, Lost};
use super::{CommandError, Report};
use crate::operators::Status;
use crate::operators::api::{
    ActivateRequest, ErrorBody, PresetList, ProposalOutcome, PublishRequest, ReleaseRequest,
};
use crate::settings::{InvalidFileError, read_text};

/// Publishes the preset in a file as the version after the current one.
pub async fn publish(client: &Client, file: &str) -> Result<Report, CommandError> {
    let text =
        read_text(Path::new(file)).map_err(|mistake| CommandError::unreadable(file, &mistake))?;
    let preset = Preset::parse(&text).map_err(|mistakes| {
        CommandError::invalid_file(InvalidFileError {
            file: file.to_owned(),
            mistakes,
        })
    })?;
    let expected = current(client, &preset.name).await?.unwrap_or(0);
    let proposal = draw();
    let body = PublishRequest {
        name: preset.name.clone(),
        expected,
        text,
        proposal: Some(proposal),
    };
    let subject = format!("preset {} version {} published", preset.name, expected + 1);
    propose(client, "publish", &body, proposal, &subject).await
}

/// Puts a preset in force.
pub async fn activate(
    client: &Client,
    name: &str,
    version: Option<u32>,
) -> Result<Report, CommandError> {
    let version = match version {
        Some(version) => version,
        None => {
            let current = current(client, name).await?;
            current.ok_or_else(|| CommandError::unknown_preset(name))?
        }
    };
    let status: Status = client.get("/control/status").await?;
    let proposal = draw();
    let body = ActivateRequest {
        name: name.to_owned(),
        version,
        expected: status.activations,
        proposal: Some(proposal),
    };
    let subject = format!("preset {name} version {version} activated");
    propose(client, "activate", &body, proposal, &subject).await
}

/// Asserts that an upstream or failure domain is gone.
pub async fn release(
    client: &Client,
    upstream: Option<String>,
    domain: Option<String>,
) -> Result<Report, CommandError> {
    let subject = match (&upstream, &domain) {
        (Some(name), _) => format!("upstream {name} released"),
        (None, name) => format!("failure domain {} released", name.as_deref().unwrap_or("")),
    };
    let proposal = draw();
    let body = ReleaseRequest {
        upstream,
        domain,
        proposal: Some(proposal),
    };
    propose(client, "release", &body, proposal, &subject).await
}

/// Shows what became of a proposal.
pub async fn proposal(client: &Client, id: u64) -> Result<Report, CommandError> {
    let outcome: ProposalOutcome = client.get(&format!("/control/proposal?id={id}")).await?;
    settle(outcome, "proposal accepted")
}

async fn propose(
    client: &Client,
    action: &str,
    body: &impl Serialize,
    proposal: u64,
    subject: &str,
) -> Result<Report, CommandError> {
    match client.post(&format!("/control/{action}"), body).await {
        Ok(answer) => decide(client, &answer, proposal, subject),
        Err(Lost::Unsent(detail)) => Err(CommandError::unreachable(client.instance(), &detail)),
        Err(Lost::Unanswered(detail)) => Err(CommandError::unknown(proposal, &detail)),
    }
}

fn decide(
    client: &Client,
    answer: &Answer,
    proposal: u64,
    subject: &str,
) -> Result<Report, CommandError> {
    if let Ok(outcome) = serde_json::from_slice::<ProposalOutcome>(&answer.body) {
        return settle(outcome, subject);
    }
    // An append may have taken effect although the log reported a failure.
    let uncertain = [
        Code::LogUnavailable.number(),
        Code::ProposalUnknown.number(),
    ];
    match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(failure) if uncertain.contains(&failure.code) => {
            Err(CommandError::unknown(proposal, &failure.text))
        }
        Ok(failure) => Err(CommandError::refused(failure)),
        Err(_) if answer.status.is_client_error() => Err(client.refusal(answer)),
        Err(_) => {
            let detail = format!("status {} without an outcome", answer.status.as_u16());
            Err(CommandError::unknown(proposal, &detail))
        }
    }
}

fn settle(outcome: ProposalOutcome, subject: &str) -> Result<Report, CommandError> {
    if let Some(error) = CommandError::of(outcome) {
        return Err(error);
    }
    let offset = outcome
        .offset
        .map_or(String::new(), |offset| format!(", offset {offset}"));
    let text = format!("{subject} (proposal {}{offset})\n", outcome.proposal);
    let json = json!({
        "proposal": outcome.proposal,
        "outcome": "accepted",
        "offset": outcome.offset,
    });
    Ok(Report::done(text, json))
}

/// Current version of a preset; `None` if it was never published.
async fn current(client: &Client, name: &str) -> Result<Option<u32>, CommandError> {
    let presets: PresetList = client.get("/control/presets").await?;
    let mut presets = presets.presets.iter();
    let found = presets.find(|preset| preset.name == name);
    Ok(found.map(|preset| preset.version))
}

/// New id of a proposal, exact in programs that hold JSON numbers as doubles.
fn draw() -> u64 {
    rand::random::<u64>() >> 11
}
