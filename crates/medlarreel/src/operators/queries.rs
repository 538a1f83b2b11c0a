//! Read-only queries on the operators' address.

use std::collections::HashMap;

use http::{HeaderValue, StatusCode, header};
use medlarreel_core::code::Code;
use medlarreel_core::fold;
use medlarreel_core::ids::{Proposal, Upstream};

use super::{Status, api, error_response, json_response, outcome_response, overview, page};
use crate::app::{App, Snapshot};
use crate::control::ProposalStatus;
use crate::dispatch::BufferedResponse;
use crate::listen::plain_text;

/// Serves the status page and the queries under `/control`.
pub(super) fn respond(app: &App, path: &str, query: &HashMap<String, String>) -> BufferedResponse {
    let snapshot = app.snapshot();
    let response = match path {
        "/" => Ok(status_page(&overview::status(app, &snapshot))),
        "/control/status" => Ok(json_response(200, &overview::status(app, &snapshot))),
        "/control/owner" => owner(&snapshot, query).map(|owner| json_response(200, &owner)),
        "/control/audit" => Ok(json_response(200, &audit(&snapshot, query))),
        "/control/presets" => Ok(json_response(200, &presets(&snapshot))),
        "/control/proposal" => proposal(&snapshot, query).map(outcome_response),
        _ => Err(Code::UnknownCommand),
    };
    response.unwrap_or_else(error_response)
}

fn owner(snapshot: &Snapshot, query: &HashMap<String, String>) -> Result<api::KeyOwner, Code> {
    let service = query.get("service").ok_or(Code::BadRequest)?;
    let key = query.get("key").ok_or(Code::BadRequest)?;
    let route = snapshot.table.route(service).ok_or(Code::UnknownService)?;
    if !route.limits.keyed {
        return Err(Code::BadRequest);
    }
    let shard = route.shard(key.as_bytes());
    let place = route.place(shard);
    let target = |upstream: Upstream| snapshot.table.target(upstream);
    let name = |upstream: Upstream| target(upstream).map(|target| target.name.clone());
    let dispatcher = place
        .owner
        .and_then(target)
        .and_then(|target| target.dispatchers.first());
    let address = dispatcher.and_then(|instance| snapshot.table.peer_address(*instance));
    Ok(api::KeyOwner {
        service: service.clone(),
        shard: Some(shard.index),
        owner: place.owner.and_then(name),
        standby: place.standby.and_then(name),
        dispatcher: address.map(|address| address.to_string()),
        placed: latest_plan_change(snapshot, service),
    })
}

/// Latest accepted change of the service's plan.
fn latest_plan_change(snapshot: &Snapshot, service: &str) -> Option<api::AuditEntry> {
    let subject = format!("plan of {service}");
    let entries = snapshot
        .state
        .audit()
        .filter(|entry| entry.subject == subject);
    entries.last().map(audit_entry)
}

fn audit(snapshot: &Snapshot, query: &HashMap<String, String>) -> api::AuditTrail {
    let after = query.get("after").and_then(|text| text.parse::<u64>().ok());
    let entries = snapshot.state.audit();
    let newer = entries.filter(|entry| after.is_none_or(|after| entry.offset.0 > after));
    api::AuditTrail {
        entries: newer.map(audit_entry).collect(),
    }
}

/// Converts an audit entry to its JSON body.
pub(super) fn audit_entry(entry: &fold::AuditEntry) -> api::AuditEntry {
    api::AuditEntry {
        offset: entry.offset.0,
        subject: entry.subject.clone(),
        cause: entry.cause.clone(),
        before: entry.before.clone(),
        after: entry.after.clone(),
    }
}

fn presets(snapshot: &Snapshot) -> api::PresetList {
    let presets = snapshot
        .state
        .presets()
        .iter()
        .map(|(name, published)| api::PublishedPreset {
            name: name.clone(),
            version: published.version,
            text: published.text.clone(),
        });
    api::PresetList {
        presets: presets.collect(),
    }
}

fn proposal(snapshot: &Snapshot, query: &HashMap<String, String>) -> Result<ProposalStatus, Code> {
    let id = query
        .get("id")
        .and_then(|text| text.parse().ok())
        .ok_or(Code::BadRequest)?;
    let outcome = snapshot.state.proposal_outcome(Proposal(id));
    Ok(outcome.map_or_else(
        || ProposalStatus::unknown(Proposal(id)),
        ProposalStatus::from,
    ))
}

fn status_page(status: &Status) -> BufferedResponse {
    let mut response = plain_text(StatusCode::OK, &page::render(status));
    let content_type = HeaderValue::from_static("text/html; charset=utf-8");
    response.headers.insert(header::CONTENT_TYPE, content_type);
    response
}
