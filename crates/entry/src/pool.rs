//! Pool of idle connections to upstreams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, header};
use medlarreel_core::ids::Upstream;
use medlarreel_core::time::Time;

use crate::connection::Connection;
use crate::error::Error;

/// Idle timeout that is assumed if the upstream does not announce one. Upstreams close
/// idle connections after 10 s.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Fraction of the upstream's idle timeout for which a connection is reused. The rest
/// covers the time that a close by the upstream takes to arrive.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Longest idle time of a connection that carries a request which must not be sent
/// twice. If the upstream closed the connection at the same moment, the request's
/// outcome would be unknown.
const MAX_NON_IDEMPOTENT_IDLE_TIME: Duration = Duration::from_secs(3);

/// What a connection is used for.
#[derive(Clone, Copy, Debug)]
pub struct Usage<'a> {
    /// Upstream that the request is sent to.
    pub upstream: Upstream,
    /// Whether the request may run more than once. For one that may not, connections that
    /// have been idle for `MAX_NON_IDEMPOTENT_IDLE_TIME` are not used.
    pub idempotent: bool,
    /// Id of the attempt. A connection on which the upstream has refused it is not used.
    pub attempt: &'a str,
    /// Minimum age of the connection. A new one is opened only if this is zero.
    pub min_age: Duration,
    /// Number of idle connections that may remain beside a new one.
    pub max_idle: usize,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Time,
    max_idle_time: Duration,
}

/// Idle connections, by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    /// Connections opened since they were last counted.
    opened: Cell<u64>,
    idle: RefCell<HashMap<Upstream, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns the most recently used idle connection that suits the use, or connects to
    /// `address` within `connect_timeout`. Without a `usage`, it always connects. A new
    /// connection is used only once the server has kept it for a round trip.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if no connection is established, `NotAccepted` if the server closes
    /// a new one at once, and `NoOldConnection` if none has the minimum age.
    pub async fn get_or_connect(
        &self,
        now: Time,
        usage: Option<Usage<'_>>,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, Error> {
        let idle = usage.and_then(|usage| self.take_idle(now, usage));
        if let Some(connection) = idle {
            return Ok(connection);
        }
        if usage.is_some_and(|usage| !usage.min_age.is_zero()) {
            return Err(Error::NoOldConnection);
        }
        if let Some(usage) = usage {
            self.close_oldest(usage.upstream, usage.max_idle);
        }
        self.opened.set(self.opened.get() + 1);
        let connection = Connection::connect(address, connect_timeout).await?;
        connection.confirm_accepted().await?;
        Ok(connection)
    }

    /// Takes the most recently used idle connection that suits the use; `None` if there is
    /// none. Closed connections and those that have been idle for too long are dropped.
    pub fn take_idle(&self, now: Time, usage: Usage<'_>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&usage.upstream)?;
        let is_usable = |candidate: &IdleConnection| {
            let age = now.since(candidate.since);
            candidate.connection.is_open() && age < candidate.max_idle_time
        };
        connections.retain(is_usable);
        let is_suitable = |candidate: &IdleConnection| {
            let age = now.since(candidate.since);
            (usage.idempotent || age < MAX_NON_IDEMPOTENT_IDLE_TIME)
                && !candidate.connection.has_refused_attempt(usage.attempt)
                && (usage.min_age.is_zero() || candidate.connection.age() >= usage.min_age)
        };
        let position = connections.iter().rposition(is_suitable)?;
        Some(connections.remove(position).connection)
    }

    /// Closes the connections to an upstream that have been idle for the longest time, until
    /// `max_idle` are left.
    fn close_oldest(&self, upstream: Upstream, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        if let Some(connections) = idle.get_mut(&upstream) {
            let excess = connections.len().saturating_sub(max_idle);
            connections.drain(..excess);
        }
    }

    /// Takes the number of connections opened since the last call.
    pub fn take_opened(&self) -> u64 {
        self.opened.take()
    }

    /// Number of idle connections to an upstream.
    pub fn idle_count(&self, upstream: Upstream) -> usize {
        let idle = self.idle.borrow();
        let connections = idle.get(&upstream).into_iter().flatten();
        connections
            .filter(|candidate| candidate.connection.is_open())
            .count()
    }

    /// Returns a connection to the pool, which keeps at most `max_idle` of them for each
    /// upstream. `response_headers` are those of the last response on the connection; if
    /// they announce that the upstream closes it, it is dropped.
    pub fn put_idle(
        &self,
        now: Time,
        upstream: Upstream,
        connection: Connection,
        response_headers: &HeaderMap,
        max_idle: usize,
    ) {
        if is_closing(response_headers) {
            return;
        }
        let max_idle_time = keep_alive_timeout(response_headers)
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .mul_f64(IDLE_TIMEOUT_FRACTION);
        let idle_connection = IdleConnection {
            connection,
            since: now,
            max_idle_time,
        };
        let mut idle = self.idle.borrow_mut();
        idle.entry(upstream).or_default().push(idle_connection);
        drop(idle);
        self.close_oldest(upstream, max_idle);
    }

    /// Drops connections that are closed or have been idle for too long, and those to
    /// upstreams that new requests may not be sent to.
    pub fn close_stale(&self, now: Time, is_usable: impl Fn(Upstream) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|upstream, connections| {
            connections.retain(|candidate| {
                candidate.connection.is_open()
                    && now.since(candidate.since) < candidate.max_idle_time
            });
            !connections.is_empty() && is_usable(*upstream)
        });
    }
}

fn is_closing(response_headers: &HeaderMap) -> bool {
    let values = response_headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn keep_alive_timeout(response_headers: &HeaderMap) -> Option<Duration> {
    let text = response_headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
