//! Read-only answers on the operators' address.

use std::collections::HashMap;

use http::StatusCode;
use medlarreel_core::code::Code;
use medlarreel_core::ids::{Proposal, Upstream};
use serde_json::{Value, json};

use super::{error, json_answer, verdict};
use crate::app::{App, Snapshot};
use crate::control::Verdict;
use crate::dispatch::Answer;
use crate::listen::plain;

/// Answers a query under `/control`.
pub(super) fn answer(app: &App, path: &str, query: &HashMap<String, String>) -> Answer {
    let snapshot = app.snapshot();
    match path {
        "/control/status" => json_answer(200, &status(app, &snapshot)),
        "/control/owner" => owner(app, &snapshot, query),
        "/control/audit" => json_answer(200, &audit(&snapshot, query)),
        "/control/presets" => json_answer(200, &presets(&snapshot)),
        "/control/proposal" => proposal(&snapshot, query),
        _ => error(Code::UnknownCommand, "see docs/protocol.md"),
    }
}

fn status(app: &App, snapshot: &Snapshot) -> Value {
    let state = &snapshot.state;
    let active = state.active().map(|active| {
        json!({
            "name": active.preset.name,
            "version": active.version,
            "activation": active.count,
            "since": active.since.0,
        })
    });
    let members = state.clubs().iter().flat_map(|club| {
        club.members.iter().map(|member| {
            json!({
                "instance": member.instance.0,
                "club": member.club,
                "domain": member.domain,
                "peers": member.peers,
            })
        })
    });
    json!({
        "instance": app.me.0,
        "club": app.home,
        "ready": app.ready(),
        "established": snapshot.established,
        "next": state.next().0,
        "preset": active,
        "holder": snapshot.holder.map(|holder| holder.0),
        "members": members.collect::<Vec<_>>(),
        "upstreams": upstreams(snapshot),
        "requests": app.requests(),
    })
}

fn upstreams(snapshot: &Snapshot) -> Vec<Value> {
    let keys = (0..).map(Upstream).zip(snapshot.state.upstreams());
    let entries = keys.map(|(key, entry)| {
        let lane = snapshot.lanes.get(&key).map(|lane| lane.overview());
        json!({
            "name": entry.server.name,
            "service": entry.server.service,
            "domain": entry.server.domain,
            "address": entry.server.address,
            "owns": owned(snapshot, key),
            "dispatched_here": lane,
        })
    });
    entries.collect()
}

fn owned(snapshot: &Snapshot, upstream: Upstream) -> usize {
    let services = snapshot.state.services().iter();
    let places = services.flat_map(|service| &service.plan.places);
    places.filter(|place| place.owner == Some(upstream)).count()
}

fn owner(app: &App, snapshot: &Snapshot, query: &HashMap<String, String>) -> Answer {
    let (Some(service), Some(key)) = (query.get("service"), query.get("key")) else {
        return error(Code::BadRequest, "give service and key");
    };
    let Some(route) = snapshot.table.route(service) else {
        return error(Code::UnknownService, "see medlarctl status");
    };
    if !route.limits.keyed {
        return error(Code::BadRequest, "the service is not divided by key");
    }
    let shard = route.shard(key.as_bytes());
    let place = route.place(shard);
    let name = |upstream: Upstream| snapshot.table.target(upstream).map(|t| t.name.clone());
    let dispatchers = place.owner.and_then(|owner| snapshot.table.target(owner));
    let dispatchers = dispatchers.map(|target| &target.dispatchers[..]).unwrap_or_default();
    let subject = format!("plan of {service}");
    let why = snapshot.state.audit().filter(|entry| entry.subject == subject).last();
    let held = place.owner.and_then(|owner| snapshot.lanes.get(&owner));
    let epoch = held.and_then(|lane| lane.permit(app.clock.now(), Some(shard)).ok().flatten());
    let body = json!({
        "service": service,
        "key": key,
        "shard": shard.index,
        "owner": place.owner.and_then(name),
        "standby": place.standby.and_then(name),
        "dispatchers": dispatchers.iter().map(|instance| instance.0).collect::<Vec<_>>(),
        "epoch": epoch.map(|epoch| epoch.to_string()),
        "last_change": why,
    });
    json_answer(200, &body)
}

fn audit(snapshot: &Snapshot, query: &HashMap<String, String>) -> Value {
    let after = query.get("after").and_then(|text| text.parse::<u64>().ok());
    let entries = snapshot.state.audit();
    let newer = entries.filter(|entry| after.is_none_or(|after| entry.offset.0 > after));
    json!({ "entries": newer.collect::<Vec<_>>() })
}

fn presets(snapshot: &Snapshot) -> Value {
    let presets = snapshot.state.presets().iter().map(|(name, published)| {
        json!({ "name": name, "version": published.version, "text": published.text })
    });
    let activation = snapshot.state.active().map_or(0, |active| active.count);
    json!({ "presets": presets.collect::<Vec<_>>(), "activation": activation })
}

fn proposal(snapshot: &Snapshot, query: &HashMap<String, String>) -> Answer {
    let Some(id) = query.get("id").and_then(|text| text.parse().ok()).map(Proposal) else {
        return error(Code::BadRequest, "give the proposal's id");
    };
    let settled = snapshot.state.settled(id);
    verdict(settled.map_or_else(|| Verdict::unknown(id), Verdict::from))
}

/// Status page for a browser.
pub(super) fn page(app: &App) -> Answer {
    let snapshot = app.snapshot();
    let text = serde_json::to_string_pretty(&status(app, &snapshot)).unwrap_or_default();
    plain(StatusCode::OK, &text)
}
