//! Commands that query instances.

use std::net::SocketAddr;

use serde_json::json;

use super::client::{Client, percent_encode};
use super::{CommandError, ExitCode, Report, render};
use crate::operators::Status;
use crate::operators::api::{AuditTrail, KeyOwner};

/// Shows the status of an instance.
pub async fn status(client: &Client) -> Result<Report, CommandError> {
    let status: Status = client.get("/control/status").await?;
    Ok(Report::success(render::status(&status), json!(status)))
}

/// Shows the active preset of each instance and whether all agree.
///
/// The exit code is that of the first instance that failed; a disagreement does not
/// change it.
pub async fn compare_instances(
    instances: &[SocketAddr],
    token: Option<&str>,
) -> Result<Report, CommandError> {
    let mut tasks = Vec::new();
    for address in instances {
        let client = Client::new(*address, token.map(str::to_owned));
        let request = async move { client.get::<Status>("/control/status").await };
        tasks.push((*address, tokio::spawn(request)));
    }
    let mut results = Vec::new();
    for (address, task) in tasks {
        let join_error = |error: tokio::task::JoinError| {
            Err(CommandError::unreachable(address, &error.to_string()))
        };
        results.push((address, task.await.unwrap_or_else(join_error)));
    }
    Ok(comparison_report(&results))
}

fn comparison_report(results: &[(SocketAddr, Result<Status, CommandError>)]) -> Report {
    let active = results
        .iter()
        .filter_map(|(_, result)| result.as_ref().ok());
    let mut active = active.map(|status| (status.activations, &status.preset));
    let first = active.next();
    let all_same = first.is_some_and(|first| active.all(|other| other == first));
    let failed = results.iter().find_map(|(_, result)| result.as_ref().err());
    let mut text: String = results
        .iter()
        .map(|(address, result)| render::instance_line(*address, result))
        .collect();
    text.push_str(match (all_same, failed) {
        (true, None) => "the same at all instances\n",
        (true, Some(_)) => "the same at all instances that answered\n",
        (false, _) => "not the same at all instances\n",
    });
    let entries = results.iter().map(|(address, result)| match result {
        Ok(status) => json!({
            "instance": address,
            "preset": status.preset,
            "activations": status.activations,
            "next": status.next,
        }),
        Err(error) => json!({"instance": address, "error": error.json()}),
    });
    Report {
        exit_code: failed.map_or(ExitCode::Done, |error| error.exit_code),
        text,
        json: json!({"same": all_same, "instances": entries.collect::<Vec<_>>()}),
    }
}

/// Shows the owner of a key.
pub async fn owner(client: &Client, service: &str, key: &str) -> Result<Report, CommandError> {
    let (service, key) = (percent_encode(service), percent_encode(key));
    let path = format!("/control/owner?service={service}&key={key}");
    let owner: KeyOwner = client.get(&path).await?;
    Ok(Report::success(render::owner(&owner), json!(owner)))
}

/// Lists accepted changes.
pub async fn audit(client: &Client, after: Option<u64>) -> Result<Report, CommandError> {
    let path = match after {
        Some(after) => format!("/control/audit?after={after}"),
        None => "/control/audit".to_owned(),
    };
    let audit: AuditTrail = client.get(&path).await?;
    let text = audit.entries.iter().map(render::audit_entry).collect();
    Ok(Report::success(text, json!(audit)))
}
