//! Connections to one upstream or peer.
//!
//! A connection carries one exchange at a time. One whose exchange was
//! abandoned is closed and never used again, so a late answer cannot reach the
//! wrong request. Connections are replaced when idle or old, since something
//! between the two ends may have lost track of them.

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

/// A connection that was idle for this long is not used again.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// A connection is not used beyond this age.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Sent data without acknowledgement for this long ends the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(900);

/// After a failed connection attempt, others are preferred for this long.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// A connection attempt ends after this time.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait for the end of a connection that is being closed.
const CLOSE_LIMIT: Duration = Duration::from_millis(100);

/// Whole answer to a request.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why an exchange brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// All connections are in use; no byte of the request was sent.
    PoolFull,
    /// The right to send ended first; no byte of the request was sent.
    Revoked,
    /// The connection has gone silent; see `silence`.
    Silent,
    /// The connection ended before the whole answer arrived.
    Lost,
    /// The time was over before the whole answer arrived.
    TimedOut,
    /// The answer is larger than allowed.
    TooLarge,
}

/// Bounded set of connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limit: usize,
    places: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Link>,
    failed: Option<Instant>,
}

/// An open connection. Its task owns the place among the pool's connections,
/// which is given back only once the connection has been closed.
#[derive(Debug)]
struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    opened: Instant,
    used: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        // A connection with unsent data would otherwise outlive its exchange.
        self.task.abort();
    }
}

/// Check made right before a request is sent.
pub type SendCheck<'a> = &'a (dyn Fn() -> bool + Sync);

/// Conditions of one exchange.
struct Terms<'a> {
    end: tokio::time::Instant,
    max_body: usize,
    check: SendCheck<'a>,
}

/// Failed exchange; the request comes back if no byte of it was sent.
struct SendError(Option<Request<Full<Bytes>>>, ExchangeError);

impl Pool {
    /// Pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: usize) -> Pool {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        Pool {
            address,
            limit,
            places: Arc::new(Semaphore::new(limit)),
            state: Mutex::default(),
        }
    }

    /// Address of the other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.limit - self.places.available_permits()
    }

    /// Whether a connection attempt has failed recently.
    pub fn recently_failed(&self) -> bool {
        self.lock()
            .failed
            .is_some_and(|failed| failed.elapsed() < SUSPECT_TIME)
    }

    /// Closes the connections that carry no exchange.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut self.lock().idle);
        drop(idle);
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// `ExchangeError::NotSent` and `ExchangeError::PoolFull` guarantee that no byte of the
    /// request was sent.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.exchange_if(request, time, max_body, &|| true).await
    }

    /// Sends a request if `check` still holds right before the send, that is
    /// after the connection has been opened.
    ///
    /// # Errors
    ///
    /// As `exchange`, and `ExchangeError::Revoked` where `check` did not hold; no byte
    /// of the request was sent then.
    pub async fn exchange_if(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
        check: SendCheck<'_>,
    ) -> Result<BufferedResponse, ExchangeError> {
        let end = tokio::time::Instant::now() + time;
        let terms = Terms {
            end,
            max_body,
            check,
        };
        let (request, mut closing) = match self.checkout() {
            (Some(link), _) => match self.send(link, request, &terms).await {
                Ok(answer) => return Ok(answer),
                // The other end may close an idle connection at any moment. The
                // request comes back unsent then, and goes on a new connection.
                Err(SendError(Some(request), ExchangeError::NotSent)) => (request, true),
                Err(SendError(_, failure)) => return Err(failure),
            },
            (None, closed) => (request, closed),
        };
        // Idle connections that another request has returned since are not
        // taken, so the limit can be reached with all of them idle.
        closing |= self.evict();
        let place = self.place(closing, end).await?;
        let link = self.connect(place, end).await?;
        let sent = self.send(link, request, &terms).await;
        sent.map_err(|SendError(_, failure)| failure)
    }

    /// Sends a request on a connection of its own, which is closed afterwards.
    ///
    /// # Errors
    ///
    /// As `exchange`.
    pub async fn exchange_once(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
    ) -> Result<BufferedResponse, ExchangeError> {
        let end = tokio::time::Instant::now() + time;
        let terms = Terms {
            end,
            max_body,
            check: &|| true,
        };
        let evicted = self.evict();
        let place = self.place(evicted, end).await?;
        let mut link = self.connect(place, end).await?;
        let sent = run(&mut link, request, &terms).await;
        sent.map_err(|SendError(_, failure)| failure)
    }

    /// Takes an idle connection; also tells whether unusable ones were closed.
    fn checkout(&self) -> (Option<Link>, bool) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut closed = false;
        while let Some(link) = state.idle.pop() {
            if link.usable(now) {
                return (Some(link), closed);
            }
            closed = true;
        }
        (None, closed)
    }

    /// Closes an idle connection if the limit is reached.
    fn evict(&self) -> bool {
        if self.places.available_permits() > 0 {
            return false;
        }
        self.lock().idle.pop().is_some()
    }

    /// Place for a new connection; waits for one only if a connection is being
    /// closed.
    async fn place(
        &self,
        closing: bool,
        end: tokio::time::Instant,
    ) -> Result<OwnedSemaphorePermit, ExchangeError> {
        if let Ok(place) = Arc::clone(&self.places).try_acquire_owned() {
            return Ok(place);
        }
        if !closing {
            return Err(ExchangeError::PoolFull);
        }
        let end = end.min(tokio::time::Instant::now() + CLOSE_LIMIT);
        let place = Arc::clone(&self.places).acquire_owned();
        match tokio::time::timeout_at(end, place).await {
            Ok(Ok(place)) => Ok(place),
            _ => Err(ExchangeError::PoolFull),
        }
    }

    fn give_back(&self, mut link: Link) {
        link.used = Instant::now();
        if !link.sender.is_closed() {
            self.lock().idle.push(link);
        }
    }

    async fn connect(
        &self,
        place: OwnedSemaphorePermit,
        end: tokio::time::Instant,
    ) -> Result<Link, ExchangeError> {
        let attempt = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            SockRef::from(&stream)
                .set_tcp_user_timeout(Some(USER_TIMEOUT))
                .ok()?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::spawn(async move {
                // Its end shows at the sender.
                connection.await.ok();
                drop(place);
            });
            let now = Instant::now();
            Some(Link {
                sender,
                task: task.abort_handle(),
                opened: now,
                used: now,
            })
        };
        let limit = tokio::time::Instant::now() + CONNECT_LIMIT;
        let outcome = tokio::time::timeout_at(end.min(limit), attempt).await;
        let link = outcome.ok().flatten();
        self.lock().failed = link.is_none().then(Instant::now);
        link.ok_or(ExchangeError::NotSent)
    }

    /// Sends on one connection, which is kept only after a whole answer.
    async fn send(
        &self,
        mut link: Link,
        request: Request<Full<Bytes>>,
        terms: &Terms<'_>,
    ) -> Result<BufferedResponse, SendError> {
        let answer = run(&mut link, request, terms).await?;
        self.give_back(link);
        Ok(answer)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Link {
    fn usable(&self, now: Instant) -> bool {
        let idle = now.duration_since(self.used);
        let age = now.duration_since(self.opened);
        idle < MAX_IDLE && age < MAX_AGE && !self.sender.is_closed()
    }
}

async fn run(
    link: &mut Link,
    request: Request<Full<Bytes>>,
    terms: &Terms<'_>,
) -> Result<BufferedResponse, SendError> {
    let exchange = async {
        if link.sender.ready().await.is_err() {
            return Err(SendError(Some(request), ExchangeError::NotSent));
        }
        if !(terms.check)() {
            return Err(SendError(Some(request), ExchangeError::Revoked));
        }
        let sent = link.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError(Some(request), ExchangeError::NotSent),
            None => SendError(None, ExchangeError::Lost),
        })?;
        let answer = read_answer(answer, terms.max_body).await;
        answer.map_err(|failure| SendError(None, failure))
    };
    let outcome = tokio::time::timeout_at(terms.end, exchange).await;
    outcome.unwrap_or(Err(SendError(None, ExchangeError::TimedOut)))
}

async fn read_answer(
    answer: http::Response<Incoming>,
    max_body: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let (parts, body) = answer.into_parts();
    // A stated length beyond the limit is not waited for.
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
