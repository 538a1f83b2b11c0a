//! Commands that ask an instance.

use std::net::SocketAddr;

use serde_json::json;

use super::client::{Client, encode};
use super::{Exit, Problem, Report, show};
use crate::operators::Status;
use crate::operators::api::{Audit, Owner};

/// Shows what an instance knows.
pub async fn status(client: &Client) -> Result<Report, Problem> {
    let status: Status = client.get("/control/status").await?;
    Ok(Report::done(show::status(&status), json!(status)))
}

/// Shows what is in force at each instance.
pub async fn in_force(instances: &[SocketAddr], token: Option<&str>) -> Result<Report, Problem> {
    let mut tasks = Vec::new();
    for address in instances {
        let client = Client::new(*address, token.map(str::to_owned));
        let ask = async move { client.get::<Status>("/control/status").await };
        tasks.push((*address, tokio::spawn(ask)));
    }
    let mut answers = Vec::new();
    for (address, task) in tasks {
        let lost =
            |error: tokio::task::JoinError| Err(Problem::unreachable(address, &error.to_string()));
        answers.push((address, task.await.unwrap_or_else(lost)));
    }
    Ok(compare(&answers))
}

fn compare(answers: &[(SocketAddr, Result<Status, Problem>)]) -> Report {
    let known = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let mut known = known.map(|status| (status.activations, &status.preset));
    let first = known.next();
    let same = first.is_some_and(|first| known.all(|other| other == first));
    let failed = answers.iter().find_map(|(_, answer)| answer.as_ref().err());
    let mut text: String = answers
        .iter()
        .map(|(at, answer)| show::place(*at, answer))
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
        Err(problem) => json!({"instance": at, "error": problem.json()}),
    });
    Report {
        exit: failed.map_or(Exit::Done, |problem| problem.exit),
        text,
        json: json!({"same": same, "instances": places.collect::<Vec<_>>()}),
    }
}

/// Shows the owner of a key.
pub async fn owner(client: &Client, service: &str, key: &str) -> Result<Report, Problem> {
    let (service, key) = (encode(service), encode(key));
    let path = format!("/control/owner?service={service}&key={key}");
    let owner: Owner = client.get(&path).await?;
    Ok(Report::done(show::owner(&owner), json!(owner)))
}

/// Lists accepted changes.
pub async fn audit(client: &Client, after: Option<u64>) -> Result<Report, Problem> {
    let path = match after {
        Some(after) => format!("/control/audit?after={after}"),
        None => "/control/audit".to_owned(),
    };
    let audit: Audit = client.get(&path).await?;
    let text = audit.entries.iter().map(show::entry).collect();
    Ok(Report::done(text, json!(audit)))
}
