//! Answers as text for a terminal.
//!
//! Names in answers come from the platform's list and from presets, so control
//! characters are replaced before they reach the terminal.

use std::net::SocketAddr;

use super::CommandError;
use crate::operators::Status;
use crate::operators::api::{AuditEntry, KeyOwner};
use crate::operators::status::{Health, LeaseState, Upstream};

/// Text of a status.
pub fn status(status: &Status) -> String {
    let mut lines = vec![
        format!(
            "instance  {} of {} in {}",
            status.instance, status.club, status.domain
        ),
        format!("ready     {}", yes(status.ready)),
        format!(
            "log       {}",
            if status.log_reachable {
                "reachable"
            } else {
                "unreachable"
            }
        ),
        format!("offset    {}", status.next),
        format!("preset    {}", in_force(status)),
        format!("holder    {}", holder(status)),
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
    lines.extend(status.upstreams.iter().map(upstream));
    lines.push(format!("services  {}", status.services.len()));
    lines.extend(status.services.iter().map(|service| {
        let (name, shards, unowned) = (&service.name, service.shards, service.unowned);
        format!("  {name:20} {shards} shards, {unowned} without owner")
    }));
    clean(&lines.join("\n"))
}

fn upstream(upstream: &Upstream) -> String {
    format!(
        "  {:20} {:12} {:12} {}/{} slots, {} waiting, {}, lease {}",
        upstream.name,
        upstream.service,
        upstream.domain,
        upstream.in_flight,
        upstream.allowance,
        upstream.waiting,
        health(upstream.health),
        lease(upstream.lease),
    )
}

/// Word for a health state.
pub fn health(health: Health) -> &'static str {
    match health {
        Health::Alive => "alive",
        Health::Starting => "starting",
        Health::Draining => "draining",
        Health::Ejected => "ejected",
        Health::Dead => "dead",
    }
}

/// Word for a lease state.
pub fn lease(lease: LeaseState) -> &'static str {
    match lease {
        LeaseState::Held => "held",
        LeaseState::Moving => "moving",
        LeaseState::Lapsed => "lapsed",
        LeaseState::Unknown => "unknown",
    }
}

/// Line about what is in force at one instance.
pub fn place(at: SocketAddr, answer: &Result<Status, CommandError>) -> String {
    let text = match answer {
        Ok(status) => format!("{at:<21} {}, offset {}", in_force(status), status.next),
        Err(error) => format!("{at:<21} {error}"),
    };
    clean(&text)
}

/// Text of a key's owner.
pub fn owner(owner: &KeyOwner) -> String {
    let or_none = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".into());
    let shard = owner.shard.map_or("none".into(), |shard| shard.to_string());
    let placed = owner.placed.as_ref().map_or("unknown\n".into(), entry);
    let text = format!(
        "service    {}\nshard      {shard}\nowner      {}\nstandby    {}\ndispatcher {}\n\
         placed by  {}",
        owner.service,
        or_none(&owner.owner),
        or_none(&owner.standby),
        or_none(&owner.dispatcher),
        placed.trim_end(),
    );
    clean(&text)
}

/// Line about an accepted change.
pub fn entry(entry: &AuditEntry) -> String {
    let (before, after) = (&entry.before, &entry.after);
    let change = match before.is_empty() {
        true => after.clone(),
        false => format!("{before} -> {after}"),
    };
    clean(&format!(
        "{:>8} {}: {}: {change}",
        entry.offset, entry.subject, entry.cause
    ))
}

fn in_force(status: &Status) -> String {
    match &status.preset {
        Some(preset) => format!(
            "{} version {}, activation {}",
            preset.name, preset.version, status.activations
        ),
        None => "none".into(),
    }
}

fn holder(status: &Status) -> String {
    match &status.holder {
        Some(holder) => format!(
            "{} at {}, term {}, round {}",
            holder.instance, holder.peers, holder.term, holder.round
        ),
        None => "unknown".into(),
    }
}

fn yes(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

/// The text with a line end, and without control characters that a terminal obeys.
fn clean(text: &str) -> String {
    let plain = |char: char| {
        if char.is_control() && char != '\n' {
            '?'
        } else {
            char
        }
    };
    let mut text: String = text.trim_end().chars().map(plain).collect();
    text.push('\n');
    text
}
