//! Connection pool for one upstream or peer.
//!
//! A connection carries one exchange at a time. If an exchange is abandoned, its
//! connection is closed and never reused, so a late response cannot reach the wrong
//! request. Idle and old connections are replaced, because a middlebox between the
//! two ends may have dropped their state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;

/// A connection that has been idle for this long is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// A connection older than this is not reused.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Value of `TCP_USER_TIMEOUT`: a connection whose sent data stays unacknowledged for
/// this long is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(900);

/// After a failed connection attempt, other destinations are preferred for this long.
const RECENT_FAILURE_WINDOW: Duration = Duration::from_secs(1);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a connection that is being closed to free its permit.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// HTTP response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Reason why an exchange yielded no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened, or the connection was closed before sending; no
    /// byte of the request was sent.
    NotSent,
    /// All connections are in use; no byte of the request was sent.
    PoolFull,
    /// The check before sending failed; no byte of the request was sent.
    Revoked,
    /// The connection has gone silent; see the `silence` module.
    Silent,
    /// The connection failed before the complete response arrived, or the response was
    /// malformed.
    Lost,
    /// The timeout elapsed before the complete response arrived.
    TimedOut,
    /// The response body exceeds the size limit.
    TooLarge,
}

/// Bounded pool of connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limit: usize,
    permits: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Connection>,
    last_failure: Option<Instant>,
}

/// An open connection. Its task owns the pool permit and releases it only once the
/// connection has been closed.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    opened: Instant,
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Otherwise a connection with unsent data would outlive its exchange.
        self.task.abort();
    }
}

/// Check performed immediately before a request is sent.
pub type SendCheck<'a> = &'a (dyn Fn() -> bool + Sync);

/// Limits and pre-send check of one exchange.
struct ExchangeParams<'a> {
    deadline: tokio::time::Instant,
    max_body: usize,
    check: SendCheck<'a>,
}

/// Failed exchange, with the request if no byte of it was sent.
struct SendError(Option<Request<Full<Bytes>>>, ExchangeError);

impl Pool {
    /// Creates a pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: usize) -> Pool {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        Pool {
            address,
            limit,
            permits: Arc::new(Semaphore::new(limit)),
            state: Mutex::default(),
        }
    }

    /// Returns the remote address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that are open, being opened or being closed.
    pub fn open_connections(&self) -> usize {
        self.limit - self.permits.available_permits()
    }

    /// Returns whether the latest connection attempt failed, less than
    /// `RECENT_FAILURE_WINDOW` ago.
    pub fn recently_failed(&self) -> bool {
        self.lock()
            .last_failure
            .is_some_and(|failure| failure.elapsed() < RECENT_FAILURE_WINDOW)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut self.lock().idle);
        drop(idle);
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// `ExchangeError::NotSent` and `ExchangeError::PoolFull` guarantee that no byte of
    /// the request was sent.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.exchange_if(request, timeout, max_body, &|| true).await
    }

    /// Sends a request if `check` still holds immediately before sending, after the
    /// connection has been opened.
    ///
    /// # Errors
    ///
    /// As `exchange`, and `ExchangeError::Revoked` if `check` did not hold, in which
    /// case no byte of the request was sent.
    pub async fn exchange_if(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body: usize,
        check: SendCheck<'_>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let params = ExchangeParams {
            deadline,
            max_body,
            check,
        };
        let (request, mut closing) = match self.checkout() {
            (Some(connection), _) => match self.send(connection, request, &params).await {
                Ok(response) => return Ok(response),
                // The remote end may close an idle connection at any time. The request
                // is then returned unsent and goes out on a new connection.
                Err(SendError(Some(request), ExchangeError::NotSent)) => (request, true),
                Err(SendError(_, failure)) => return Err(failure),
            },
            (None, closed) => (request, closed),
        };
        // Connections that became idle after `checkout` are not reused here, so the
        // limit can be reached while some connections are idle.
        closing |= self.evict_idle();
        let permit = self.acquire_permit(closing, deadline).await?;
        let connection = self.connect(permit, deadline).await?;
        let sent = self.send(connection, request, &params).await;
        sent.map_err(|SendError(_, failure)| failure)
    }

    /// Sends a request on a dedicated connection, which is closed afterwards.
    ///
    /// # Errors
    ///
    /// As `exchange`.
    pub async fn exchange_once(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let params = ExchangeParams {
            deadline,
            max_body,
            check: &|| true,
        };
        let evicted = self.evict_idle();
        let permit = self.acquire_permit(evicted, deadline).await?;
        let mut connection = self.connect(permit, deadline).await?;
        let sent = run_exchange(&mut connection, request, &params).await;
        sent.map_err(|SendError(_, failure)| failure)
    }

    /// Takes the most recently used idle connection that can be reused, if any. Also
    /// returns whether idle connections that cannot be reused were closed.
    fn checkout(&self) -> (Option<Connection>, bool) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut closed = false;
        while let Some(connection) = state.idle.pop() {
            if connection.is_reusable(now) {
                return (Some(connection), closed);
            }
            closed = true;
        }
        (None, closed)
    }

    /// Closes one idle connection if the limit is reached; true if one was closed.
    fn evict_idle(&self) -> bool {
        if self.permits.available_permits() > 0 {
            return false;
        }
        self.lock().idle.pop().is_some()
    }

    /// Acquires a permit for a new connection; waits only if a connection is being
    /// closed.
    async fn acquire_permit(
        &self,
        closing: bool,
        deadline: tokio::time::Instant,
    ) -> Result<OwnedSemaphorePermit, ExchangeError> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Ok(permit);
        }
        if !closing {
            return Err(ExchangeError::PoolFull);
        }
        let deadline = deadline.min(tokio::time::Instant::now() + CLOSE_TIMEOUT);
        let permit = Arc::clone(&self.permits).acquire_owned();
        match tokio::time::timeout_at(deadline, permit).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(ExchangeError::PoolFull),
        }
    }

    fn return_idle(&self, mut connection: Connection) {
        connection.last_used = Instant::now();
        if !connection.sender.is_closed() {
            self.lock().idle.push(connection);
        }
    }

    async fn connect(
        &self,
        permit: OwnedSemaphorePermit,
        deadline: tokio::time::Instant,
    ) -> Result<Connection, ExchangeError> {
        let attempt = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            SockRef::from(&stream)
                .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
                .ok()?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::spawn(async move {
                // The end of the connection is observed through the sender.
                connection.await.ok();
                drop(permit);
            });
            let now = Instant::now();
            Some(Connection {
                sender,
                task: task.abort_handle(),
                opened: now,
                last_used: now,
            })
        };
        let limit = tokio::time::Instant::now() + CONNECT_TIMEOUT;
        let outcome = tokio::time::timeout_at(deadline.min(limit), attempt).await;
        let connection = outcome.ok().flatten();
        self.lock().last_failure = connection.is_none().then(Instant::now);
        connection.ok_or(ExchangeError::NotSent)
    }

    /// Sends on one connection, which is reused only after a complete response.
    async fn send(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        params: &ExchangeParams<'_>,
    ) -> Result<BufferedResponse, SendError> {
        let response = run_exchange(&mut connection, request, params).await?;
        self.return_idle(connection);
        Ok(response)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Connection {
    fn is_reusable(&self, now: Instant) -> bool {
        let idle = now.duration_since(self.last_used);
        let age = now.duration_since(self.opened);
        idle < MAX_IDLE_TIME && age < MAX_AGE && !self.sender.is_closed()
    }
}

async fn run_exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    params: &ExchangeParams<'_>,
) -> Result<BufferedResponse, SendError> {
    let exchange = async {
        if connection.sender.ready().await.is_err() {
            return Err(SendError(Some(request), ExchangeError::NotSent));
        }
        if !(params.check)() {
            return Err(SendError(Some(request), ExchangeError::Revoked));
        }
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError(Some(request), ExchangeError::NotSent),
            None => SendError(None, ExchangeError::Lost),
        })?;
        let response = read_response(response, params.max_body).await;
        response.map_err(|failure| SendError(None, failure))
    };
    let outcome = tokio::time::timeout_at(params.deadline, exchange).await;
    outcome.unwrap_or(Err(SendError(None, ExchangeError::TimedOut)))
}

async fn read_response(
    response: http::Response<Incoming>,
    max_body: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let (parts, body) = response.into_parts();
    // Do not wait for a body whose declared length exceeds the limit.
    if body.size_hint().lower() > max_body as u64 {
        return Err(ExchangeError::TooLarge);
    }
    let body = Limited::new(body, max_body)
        .collect()
        .await
        .map_err(
            |error| match error.downcast_ref::<http_body_util::LengthLimitError>() {
                Some(_) => ExchangeError::TooLarge,
                None => ExchangeError::Lost,
            },
        )?;
    Ok(BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}
