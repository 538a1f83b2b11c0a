//! Idle connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, header};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use crate::connection::Connection;
use crate::error::Error;

/// Idle time after which a connection is not used where the upstream names none.
/// Upstreams close idle connections after 10 s.
const DEFAULT_IDLE: Duration = Duration::from_secs(6);

/// Part of the upstream's idle time for which a connection is used. The rest
/// covers the way of a close.
const IDLE_PART: f64 = 0.7;

/// Idle time up to which a connection carries a request that must not be sent
/// twice. A close that crosses it would leave its outcome unknown.
const FRESH: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Idle {
    link: Connection,
    since: Time,
    limit: Duration,
}

/// Idle connections, by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<Upstream, Vec<Idle>>>,
}

impl Pool {
    /// Connection that was used last, or a new one to `address` within `limit`. An
    /// upstream that is not known has no connections.
    ///
    /// # Errors
    ///
    /// `NotSent` if there is no connection.
    pub async fn get_or_connect(
        &self,
        now: Time,
        upstream: Option<Upstream>,
        idempotent: bool,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, Error> {
        match upstream.and_then(|upstream| self.take(now, upstream, idempotent)) {
            Some(link) => Ok(link),
            None => Connection::connect(address, limit).await,
        }
    }

    /// Connection that was used last; none if all are too old.
    fn take(&self, now: Time, upstream: Upstream, idempotent: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&upstream)?;
        let fits = |one: &Idle| {
            let age = now.since(one.since);
            one.link.is_open() && age < one.limit && (idempotent || age < FRESH)
        };
        while let Some(one) = links.pop() {
            if fits(&one) {
                return Some(one.link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer had these header fields, with at most
    /// `most` idle ones to an upstream.
    pub fn put_idle(
        &self,
        now: Time,
        upstream: Upstream,
        link: Connection,
        answer: &HeaderMap,
        most: usize,
    ) {
        if closes(answer) {
            return;
        }
        let limit = keep_alive(answer)
            .unwrap_or(DEFAULT_IDLE)
            .mul_f64(IDLE_PART);
        let one = Idle {
            link,
            since: now,
            limit,
        };
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(upstream).or_default();
        if links.len() >= most {
            // The oldest goes, since it would be closed first anyway.
            links.remove(0);
        }
        links.push(one);
    }

    /// Closes connections that are too old and those of upstreams that are gone.
    pub fn close_stale(&self, now: Time, known: impl Fn(Upstream) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|upstream, links| {
            links.retain(|one| one.link.is_open() && now.since(one.since) < one.limit);
            !links.is_empty() && known(*upstream)
        });
    }
}

fn closes(answer: &HeaderMap) -> bool {
    let values = answer.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn keep_alive(answer: &HeaderMap) -> Option<Duration> {
    let text = answer.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
