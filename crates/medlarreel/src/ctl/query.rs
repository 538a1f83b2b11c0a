//! Commands that ask an instance.

use std::net::SocketAddr;

use serde_json::json;

use super::client::{Client, encode};
use super::{CommandError, ExitCode, Report, render};
use crate::operators::Status;
use crate::operators::api::{AuditTrail, KeyOwner};

/// Shows what an instance knows.
pub async fn status(client: &Client) -> Result<Report, CommandError> {
    let status: Status = client.get("/control/status").await?;
    Ok(Report::done(render::status(&status), json!(status)))
}

/// Shows what is in force at each instance.
pub async fn in_force(
    instances: &[SocketAddr],
    token: Option<&str>,
) -> Result<Report, CommandError> {
    let mut tasks = Vec::new();
    for address in instances {
        let client = Client::new(*address, token.map(str::to_owned));
        let ask = async move { client.get::<Status>("/control/status").await };
        tasks.push((*address, tokio::spawn(ask)));
    }
    let mut answers = Vec::new();
    for (address, task) in tasks {
        let lost = |error: tokio::task::JoinError| {
            Err(CommandError::unreachable(address, &error.to_string()))
        };
        answers.push((address, task.await.unwrap_or_else(lost)));
    }
    Ok(compare(&answers))
}

fn compare(answers: &[(SocketAddr, Result<Status, CommandError>)]) -> Report {
    let known = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let mut known = known.map(|status| (status.activations, &status.preset));
    let first = known.next();
    let same = first.is_some_and(|first| known.all(|other| other == first));
    let failed = answers.iter().find_map(|(_, answer)| answer.as_ref().err());
    let mut text: String = answers
        .iter()
        .map(|(at, answer)| render::place(*at, answer))
        .collect();
    text.push_str(match (same, failed) {
        (true, None) => "the same at all instances\n",
        (true, Some(_)) => "the same at all instances that answered\n",
        (false, _) => "not the same at all instances\n",
    });
    let places = answers.iter().map(|(at, answer)| match answer {
        Ok(status) => json!({
            "instance": at,
            "preset": status.preset,
            "activations": status.activations,
            "next": status.next,
        }),
        Err(error) => json!({"instance": at, "error": error.json()}),
    });
    Report {
        exit_code: failed.map_or(ExitCode::Done, |error| error.exit_code),
        text,
        json: json!({"same": same, "instances": places.collect::<Vec<_>>()}),
    }
}

/// Shows the owner of a key.
pub async fn owner(client: &Client, service: &str, key: &str) -> Result<Report, CommandError> {
    let (service, key) = (encode(service), encode(key));
    let path = format!("/control/owner?service={service}&key={key}");
    let owner: KeyOwner = client.get(&path).await?;
    Ok(Report::done(render::owner(&owner), json!(owner)))
}

/// Lists accepted changes.
pub async fn audit(client: &Client, after: Option<u64>) -> Result<Report, CommandError> {
    let path = match after {
        Some(after) => format!("/control/audit?after={after}"),
        None => "/control/audit".to_owned(),
    };
    let audit: AuditTrail = client.get(&path).await?;
    let text = audit.entries.iter().map(render::entry).collect();
    Ok(Report::done(text, json!(audit)))
}
