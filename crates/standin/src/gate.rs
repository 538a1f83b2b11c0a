//! Connection faults: freezing, silent connections, closing and a connection limit.
//!
//! While a server is frozen, nothing is read from or written to its connections. A
//! silent connection stays frozen for the rest of its life. Administrative
//! connections, whose first request goes to `/admin/`, are exempt, so that a fault can
//! be ended through the listener that it affects. All others are called ordinary.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Connection number of all administrative connections.
const ADMIN_NUMBER: u64 = u64::MAX;

/// Maximum number of connections over the limit whose first bytes are awaited to find
/// out whether they are administrative.
const MAX_UNCLASSIFIED_CONNECTIONS: usize = 64;

/// Time within which a connection over the limit must prove to be administrative.
const CLASSIFICATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between peeks at a request line that has arrived in part.
const PEEK_INTERVAL: Duration = Duration::from_millis(1);

/// Delay before end of file is reported to the HTTP server. Without it, a request that
/// arrives together with the close of its connection would be dropped before it starts,
/// and tests could not provoke a run that starts after its caller has disconnected.
const EOF_DELAY: Duration = Duration::from_millis(1);

/// Time after which a silent connection is closed. Longer than the timeouts of any peer
/// under test, and finite so that silent connections do not accumulate.
const SILENT_CONNECTION_LIFETIME: Duration = Duration::from_secs(600);

/// Which connections may transfer data.
#[derive(Clone, Copy, Debug)]
struct Flow {
    frozen: bool,
    /// Connections with a lower number are silent.
    silent_below: u64,
    /// Connections with a lower number are closed.
    closed_below: u64,
}

impl Flow {
    fn allows(self, number: u64) -> bool {
        number == ADMIN_NUMBER || (!self.frozen && number >= self.silent_below)
    }
}

/// Controls the traffic on all connections of one server.
#[derive(Debug)]
pub struct Gate {
    flow: watch::Sender<Flow>,
    next_number: AtomicU64,
    permits: Arc<Semaphore>,
    unclassified_permits: Arc<Semaphore>,
    refused_connections: AtomicU64,
    limit: usize,
}

/// A connection that may be served: it is within the connection limit, or administrative.
pub(crate) struct AdmittedConnection {
    pub(crate) stream: GatedStream,
    /// Counts the connection against the limit; `None` if it is administrative.
    pub(crate) permit: Option<OwnedSemaphorePermit>,
    number: u64,
}

impl Gate {
    /// Creates a gate that admits up to `limit` ordinary connections at a time.
    pub fn new(limit: usize) -> Arc<Gate> {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        Arc::new(Gate {
            flow: watch::Sender::new(Flow {
                frozen: false,
                silent_below: 0,
                closed_below: 0,
            }),
            next_number: AtomicU64::new(0),
            permits: Arc::new(Semaphore::new(limit)),
            unclassified_permits: Arc::new(Semaphore::new(MAX_UNCLASSIFIED_CONNECTIONS)),
            refused_connections: AtomicU64::new(0),
            limit,
        })
    }

    /// Stops or resumes reading and writing on all ordinary connections.
    pub fn set_frozen(&self, frozen: bool) {
        self.flow.send_modify(|flow| flow.frozen = frozen);
    }

    /// Makes every ordinary connection that is open now permanently silent.
    pub fn silence_open_connections(&self) {
        let next_number = self.next_number.load(Ordering::Relaxed);
        self.flow
            .send_modify(|flow| flow.silent_below = next_number);
    }

    /// Closes every connection that is open now, including administrative and silent
    /// ones. Their requests are cancelled.
    pub fn close_open_connections(&self) {
        let next_number = self.next_number.load(Ordering::Relaxed);
        self.flow
            .send_modify(|flow| flow.closed_below = next_number);
    }

    /// Waits until traffic is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut flow = self.flow.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = flow.wait_for(|flow| !flow.frozen).await;
    }

    /// Number of open ordinary connections, excluding silent ones. Within the limit, an
    /// administrative connection is counted too until its first bytes have arrived.
    pub fn open_count(&self) -> usize {
        self.limit - self.permits.available_permits()
    }

    /// Number of connections refused so far because of the limit.
    pub fn refused_count(&self) -> u64 {
        self.refused_connections.load(Ordering::Relaxed)
    }

    /// Assigns a number and, below the limit, a permit to a connection that has just
    /// been accepted. Must be called in the order of acceptance, so that
    /// `silence_open_connections` and `close_open_connections` cover all earlier
    /// connections.
    pub(crate) fn register(&self) -> (u64, Option<OwnedSemaphorePermit>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        (number, self.permits.clone().try_acquire_owned().ok())
    }

    /// Admits a registered connection. Returns `None` if it is over the limit and not
    /// administrative.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        (number, permit): (u64, Option<OwnedSemaphorePermit>),
    ) -> Option<AdmittedConnection> {
        let admin = match &permit {
            Some(_) => is_admin(&stream).await,
            None => self.is_admin_over_limit(&stream).await,
        };
        if !admin && permit.is_none() {
            self.refused_connections.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let number = if admin { ADMIN_NUMBER } else { number };
        let gate = self.clone();
        let stream = GatedStream {
            stream,
            gate,
            number,
            pending_wait: None,
            eof_seen: false,
        };
        let permit = permit.filter(|_| !admin);
        Some(AdmittedConnection {
            stream,
            permit,
            number,
        })
    }

    /// Whether a connection over the limit is administrative. Returns `false` after
    /// `CLASSIFICATION_TIMEOUT`, or if too many such connections are being examined.
    async fn is_admin_over_limit(&self, stream: &TcpStream) -> bool {
        let Ok(_permit) = self.unclassified_permits.try_acquire() else {
            return false;
        };
        let classification = tokio::time::timeout(CLASSIFICATION_TIMEOUT, is_admin(stream));
        classification.await.unwrap_or(false)
    }

    async fn wait_until_allowed(self: Arc<Self>, number: u64) {
        let mut flow = self.flow.subscribe();
        let _ = flow.wait_for(|flow| flow.allows(number)).await;
    }

    /// Waits until the connection registered under `number` is to be closed.
    pub(crate) async fn wait_until_closed(&self, number: u64) {
        let mut flow = self.flow.subscribe();
        let _ = flow.wait_for(|flow| number < flow.closed_below).await;
    }

    async fn wait_until_silenced(&self, number: u64) {
        let mut flow = self.flow.subscribe();
        let silent = |flow: &Flow| number < flow.silent_below && number != ADMIN_NUMBER;
        let _ = flow.wait_for(silent).await;
    }
}

impl AdmittedConnection {
    /// Polls `connection`, the future that serves connection `number`, until it ends.
    /// Once the connection is silent, its permit is released, and the future is dropped
    /// after `SILENT_CONNECTION_LIFETIME`.
    pub(crate) async fn drive_to_end<F: Future>(
        gate: &Gate,
        number: u64,
        permit: Option<OwnedSemaphorePermit>,
        connection: F,
    ) {
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            _ = &mut connection => return,
            () = gate.wait_until_silenced(number) => {}
        }
        // A silent connection must not count against the connection limit.
        drop(permit);
        let _ = tokio::time::timeout(SILENT_CONNECTION_LIFETIME, connection).await;
    }

    /// Connection number; `ADMIN_NUMBER` for an administrative connection.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }
}

/// Whether the first request of a connection is administrative. Peeks at its first
/// bytes without consuming them.
async fn is_admin(stream: &TcpStream) -> bool {
    const ADMIN_PREFIXES: [&[u8]; 2] = [b"GET /admin/", b"POST /admin/"];
    let mut prefix = [0; 12];
    loop {
        let Ok(count @ 1..) = stream.peek(&mut prefix).await else {
            return false;
        };
        let prefix = &prefix[..count];
        if ADMIN_PREFIXES.iter().any(|admin| prefix.starts_with(admin)) {
            return true;
        }
        if !ADMIN_PREFIXES.iter().any(|admin| admin.starts_with(prefix)) {
            return false;
        }
        tokio::time::sleep(PEEK_INTERVAL).await;
    }
}

/// TCP stream whose reads and writes are suspended while its gate blocks them.
pub(crate) struct GatedStream {
    stream: TcpStream,
    gate: Arc<Gate>,
    number: u64,
    /// Wait for the gate or for `EOF_DELAY` that must end before the next operation.
    pending_wait: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    eof_seen: bool,
}

impl GatedStream {
    /// Returns the inner stream as soon as no wait is pending and the gate allows the
    /// connection to transfer data.
    fn poll_allowed(&mut self, cx: &mut Context<'_>) -> Poll<Pin<&mut TcpStream>> {
        loop {
            if let Some(pending_wait) = &mut self.pending_wait {
                ready!(pending_wait.as_mut().poll(cx));
                self.pending_wait = None;
            }
            if self.gate.flow.borrow().allows(self.number) {
                return Poll::Ready(Pin::new(&mut self.stream));
            }
            let pending_wait = self.gate.clone().wait_until_allowed(self.number);
            self.pending_wait = Some(Box::pin(pending_wait));
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        ready!(ready!(this.poll_allowed(cx)).poll_read(cx, buffer))?;
        if buffer.filled().len() == filled_before && !this.eof_seen {
            this.eof_seen = true;
            this.pending_wait = Some(Box::pin(tokio::time::sleep(EOF_DELAY)));
            ready!(this.poll_allowed(cx));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.get_mut().poll_allowed(cx)).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.get_mut().poll_allowed(cx)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.get_mut().poll_allowed(cx)).poll_shutdown(cx)
    }
}
