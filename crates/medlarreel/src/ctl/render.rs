//! Formats responses as text for a terminal.
//!
//! Names in responses come from the platform's list and from presets. Control
//! characters are replaced, so that such a name cannot control the terminal.

use std::net::SocketAddr;

use super::CommandError;
use crate::operators::Status;
use crate::operators::api::{AuditEntry, KeyOwner};
use crate::operators::status::{Health, LeaseState, Upstream};

/// Formats the status of an instance.
pub fn status(status: &Status) -> String {
    let mut lines = vec![
        format!(
            "instance  {} of {} in {}",
            status.instance, status.club, status.domain
        ),
        format!("ready     {}", yes_no(status.ready)),
        format!(
            "log       {}",
            if status.log_reachable {
                "reachable"
            } else {
                "unreachable"
            }
        ),
        format!("offset    {}", status.next),
        format!("preset    {}", preset_text(status)),
        format!("holder    {}", holder_text(status)),
        String::new(),
        format!("members   {}", status.members.len()),
    ];
    lines.extend(status.members.iter().map(|member| {
        let heard = if member.heard { "heard" } else { "silent" };
        format!(
            "  {:20} {:21} {:12} {heard}",
            member.instance, member.peers, member.domain
        )
    }));
    lines.push(format!("upstreams {}", status.upstreams.len()));
    lines.extend(status.upstreams.iter().map(upstream_line));
    lines.push(format!("services  {}", status.services.len()));
    lines.extend(status.services.iter().map(|service| {
        let (name, shards, unowned) = (&service.name, service.shards, service.unowned);
        format!("  {name:20} {shards} shards, {unowned} without owner")
    }));
    sanitize(&lines.join("\n"))
}

fn upstream_line(upstream: &Upstream) -> String {
    format!(
        "  {:20} {:12} {:12} {}/{} slots, {} waiting, {}, lease {}",
        upstream.name,
        upstream.service,
        upstream.domain,
        upstream.in_flight,
        upstream.allowance,
        upstream.waiting,
        health_text(upstream.health),
        lease_text(upstream.lease),
    )
}

/// Name of a health state.
pub fn health_text(health: Health) -> &'static str {
    match health {
        Health::Alive => "alive",
        Health::Starting => "starting",
        Health::Draining => "draining",
        Health::Ejected => "ejected",
        Health::Dead => "dead",
    }
}

/// Name of a lease state.
pub fn lease_text(lease: LeaseState) -> &'static str {
    match lease {
        LeaseState::Held => "held",
        LeaseState::Moving => "moving",
        LeaseState::Lapsed => "lapsed",
        LeaseState::Unknown => "unknown",
    }
}

/// Formats the active preset of one instance, or the error, as one line.
pub fn instance_line(address: SocketAddr, result: &Result<Status, CommandError>) -> String {
    let text = match result {
        Ok(status) => format!(
            "{address:<21} {}, offset {}",
            preset_text(status),
            status.next
        ),
        Err(error) => format!("{address:<21} {error}"),
    };
    sanitize(&text)
}

/// Formats the owner of a key.
pub fn owner(owner: &KeyOwner) -> String {
    let or_none = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".into());
    let shard = owner.shard.map_or("none".into(), |shard| shard.to_string());
    let placed = owner
        .placed
        .as_ref()
        .map_or("unknown\n".into(), audit_entry);
    let text = format!(
        "service    {}\nshard      {shard}\nowner      {}\nstandby    {}\ndispatcher {}\n\
         placed by  {}",
        owner.service,
        or_none(&owner.owner),
        or_none(&owner.standby),
        or_none(&owner.dispatcher),
        placed.trim_end(),
    );
    sanitize(&text)
}

/// Formats an accepted change as one line.
pub fn audit_entry(entry: &AuditEntry) -> String {
    let (before, after) = (&entry.before, &entry.after);
    let change = match before.is_empty() {
        true => after.clone(),
        false => format!("{before} -> {after}"),
    };
    sanitize(&format!(
        "{:>8} {}: {}: {change}",
        entry.offset, entry.subject, entry.cause
    ))
}

fn preset_text(status: &Status) -> String {
    match &status.preset {
        Some(preset) => format!(
            "{} version {}, activation {}",
            preset.name, preset.version, status.activations
        ),
        None => "none".into(),
    }
}

fn holder_text(status: &Status) -> String {
    match &status.holder {
        Some(holder) => format!(
            "{} at {}, term {}, round {}",
            holder.instance, holder.peers, holder.term, holder.round
        ),
        None => "unknown".into(),
    }
}

fn yes_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// Replaces control characters other than newlines and ends the text with one newline.
fn sanitize(text: &str) -> String {
    let replace_control = |char: char| {
        if char.is_control() && char != '\n' {
            '?'
        } else {
            char
        }
    };
    let mut text: String = text.trim_end().chars().map(replace_control).collect();
    text.push('\n');
    text
}
