//! Connections to one upstream or peer.
//!
//! A connection carries one exchange at a time. One whose exchange was
//! abandoned is closed and never used again, so a late answer cannot reach the
//! wrong request. Connections are replaced when idle or old, since something
//! between the two ends may have lost track of them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

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

/// Whole answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why an exchange brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// All connections are in use.
    Full,
    /// The connection ended before the whole answer arrived.
    Lost,
    /// The time was over before the whole answer arrived.
    Late,
    /// The answer is larger than allowed.
    TooLarge,
}

/// Bounded set of connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limit: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Link>,
    open: usize,
    failed: Option<Instant>,
}

#[derive(Debug)]
struct Link {
    sender: SendRequest<Full<Bytes>>,
    opened: Instant,
    used: Instant,
}

/// Place among the pool's open connections; given back when dropped.
struct Place<'a>(&'a Pool);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

impl Pool {
    /// Pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: usize) -> Pool {
        Pool {
            address,
            limit,
            state: Mutex::default(),
        }
    }

    /// Address of the other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Whether a connection attempt has failed recently.
    pub fn suspect(&self) -> bool {
        self.lock()
            .failed
            .is_some_and(|failed| failed.elapsed() < SUSPECT_TIME)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// `Failure::NotSent` and `Failure::Full` guarantee that no byte of the
    /// request was sent.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
    ) -> Result<Answer, Failure> {
        let (place, link) = self.checkout()?;
        let started = Instant::now();
        let fresh = link.is_none();
        let link = match link {
            Some(link) => link,
            None => self.connect(time).await?,
        };
        let (request, failure) = match self.send(link, request, time, max_body).await {
            Ok((answer, link)) => {
                self.give_back(place, link);
                return Ok(answer);
            }
            Err(rejected) => rejected,
        };
        // The other end may close an idle connection at any moment. The request
        // comes back unsent then, and a new connection is tried once.
        let left = time.saturating_sub(started.elapsed());
        let Some(request) = request else {
            return Err(failure);
        };
        if fresh || left.is_zero() {
            return Err(failure);
        }
        let link = self.connect(left).await?;
        let sent = self.send(link, request, left, max_body).await;
        let (answer, link) = sent.map_err(|(_, failure)| failure)?;
        self.give_back(place, link);
        Ok(answer)
    }

    fn checkout(&self) -> Result<(Place<'_>, Option<Link>), Failure> {
        let mut state = self.lock();
        let now = Instant::now();
        while let Some(link) = state.idle.pop() {
            if link.usable(now) {
                return Ok((Place(self), Some(link)));
            }
            state.open -= 1;
        }
        if state.open >= self.limit {
            return Err(Failure::Full);
        }
        state.open += 1;
        Ok((Place(self), None))
    }

    fn give_back(&self, place: Place<'_>, mut link: Link) {
        link.used = Instant::now();
        if link.sender.is_closed() {
            return;
        }
        // The connection stays open, so its place must not be released.
        std::mem::forget(place);
        self.lock().idle.push(link);
    }

    async fn connect(&self, time: Duration) -> Result<Link, Failure> {
        let attempt = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            SockRef::from(&stream)
                .set_tcp_user_timeout(Some(USER_TIMEOUT))
                .ok()?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            let now = Instant::now();
            Some(Link {
                sender,
                opened: now,
                used: now,
            })
        };
        let outcome = tokio::time::timeout(time.min(CONNECT_LIMIT), attempt).await;
        let link = outcome.ok().flatten();
        self.lock().failed = link.is_none().then(Instant::now);
        link.ok_or(Failure::NotSent)
    }

    /// Sends on one connection. Dropping the link on failure closes it.
    async fn send(
        &self,
        mut link: Link,
        request: Request<Full<Bytes>>,
        time: Duration,
        max_body: usize,
    ) -> Result<(Answer, Link), (Option<Request<Full<Bytes>>>, Failure)> {
        let exchange = async {
            if link.sender.ready().await.is_err() {
                return Err((Some(request), Failure::NotSent));
            }
            let sent = link.sender.try_send_request(request).await;
            let answer = sent.map_err(|mut error| match error.take_message() {
                Some(request) => (Some(request), Failure::NotSent),
                None => (None, Failure::Lost),
            })?;
            read_answer(answer, max_body)
                .await
                .map_err(|failure| (None, failure))
        };
        match tokio::time::timeout(time, exchange).await {
            Ok(Ok(answer)) => Ok((answer, link)),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err((None, Failure::Late)),
        }
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

async fn read_answer(answer: http::Response<Incoming>, max_body: usize) -> Result<Answer, Failure> {
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, max_body)
        .collect()
        .await
        .map_err(
            |error| match error.downcast_ref::<http_body_util::LengthLimitError>() {
                Some(_) => Failure::TooLarge,
                None => Failure::Lost,
            },
        )?;
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}
