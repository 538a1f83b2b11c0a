//! Faults of connections: freezing, silence and the limit on their number.
//!
//! Connections whose first request goes to `/admin/` pass the gate at all
//! times, so that faults can be ended over the listener that they affect.

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

/// Number that marks an administrative connection.
const ADMIN: u64 = u64::MAX;

/// Connections over the limit that may wait to be recognised as administrative.
const SPARE: usize = 64;

/// Time in which a connection over the limit must show that it is administrative.
const RECOGNITION: Duration = Duration::from_secs(1);

/// Pause between two looks at a request line that has arrived in part.
const PEEK_PAUSE: Duration = Duration::from_millis(1);

/// Delay before the peer's close is reported. Without it, a request that was
/// received together with the close would be dropped before it starts, and an
/// upstream could not show a run that starts after its caller has given up.
const CLOSE_DELAY: Duration = Duration::from_millis(1);

/// Time for which a silent connection is held open. Longer than the timeouts of
/// any peer under test, and finite so that silent connections cannot pile up.
const SILENT_HOLD: Duration = Duration::from_secs(600);

/// What flows over the connections.
#[derive(Clone, Copy, Debug)]
struct Flow {
    frozen: bool,
    silent_below: u64,
}

impl Flow {
    fn passes(self, connection: u64) -> bool {
        connection == ADMIN || (!self.frozen && connection >= self.silent_below)
    }
}

/// Controls every connection of one server.
#[derive(Debug)]
pub struct Gate {
    flow: watch::Sender<Flow>,
    next: AtomicU64,
    permits: Arc<Semaphore>,
    spare: Arc<Semaphore>,
    refused: AtomicU64,
    limit: usize,
}

/// An admitted connection.
pub(crate) struct AdmittedConnection {
    pub(crate) stream: GatedStream,
    pub(crate) permit: Option<OwnedSemaphorePermit>,
    connection: u64,
}

impl Gate {
    /// Gate that lets `limit` ordinary connections in at a time.
    pub fn new(limit: usize) -> Arc<Gate> {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        Arc::new(Gate {
            flow: watch::Sender::new(Flow {
                frozen: false,
                silent_below: 0,
            }),
            next: AtomicU64::new(0),
            permits: Arc::new(Semaphore::new(limit)),
            spare: Arc::new(Semaphore::new(SPARE)),
            refused: AtomicU64::new(0),
            limit,
        })
    }

    /// Stops or resumes reading and writing on all ordinary connections.
    pub fn set_frozen(&self, frozen: bool) {
        self.flow.send_modify(|flow| flow.frozen = frozen);
    }

    /// Makes every connection that is open now silent for good.
    pub fn silence_open(&self) {
        let next = self.next.load(Ordering::Relaxed);
        self.flow.send_modify(|flow| flow.silent_below = next);
    }

    /// Waits until the gate is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut flow = self.flow.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = flow.wait_for(|flow| !flow.frozen).await;
    }

    /// Ordinary connections open now, without silent ones.
    pub fn open_count(&self) -> usize {
        self.limit - self.permits.available_permits()
    }

    /// Connections refused at the limit so far.
    pub fn refused_count(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Number and permit of a connection that has just been accepted. Taken in
    /// the order of acceptance, so that `silence_open` covers all earlier ones.
    pub(crate) fn register(&self) -> (u64, Option<OwnedSemaphorePermit>) {
        let connection = self.next.fetch_add(1, Ordering::Relaxed);
        (connection, self.permits.clone().try_acquire_owned().ok())
    }

    /// Admits a registered connection; `None` if it is over the limit.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        (connection, permit): (u64, Option<OwnedSemaphorePermit>),
    ) -> Option<AdmittedConnection> {
        let admin = match &permit {
            Some(_) => is_admin(&stream).await,
            None => self.recognise(&stream).await,
        };
        if !admin && permit.is_none() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        let connection = if admin { ADMIN } else { connection };
        let gate = self.clone();
        let stream = GatedStream {
            stream,
            gate,
            connection,
            wait: None,
            closed: false,
        };
        let permit = permit.filter(|_| !admin);
        Some(AdmittedConnection {
            stream,
            permit,
            connection,
        })
    }

    async fn recognise(&self, stream: &TcpStream) -> bool {
        let Ok(_spare) = self.spare.try_acquire() else {
            return false;
        };
        let look = tokio::time::timeout(RECOGNITION, is_admin(stream));
        look.await.unwrap_or(false)
    }

    async fn passing(self: Arc<Self>, connection: u64) {
        let mut flow = self.flow.subscribe();
        let _ = flow.wait_for(|flow| flow.passes(connection)).await;
    }

    async fn silenced(&self, connection: u64) {
        let mut flow = self.flow.subscribe();
        let silent = |flow: &Flow| connection < flow.silent_below && connection != ADMIN;
        let _ = flow.wait_for(silent).await;
    }
}

impl AdmittedConnection {
    /// Drives `exchange` to its end, with the limits on silent connections.
    pub(crate) async fn drive<F: Future>(
        gate: &Gate,
        connection: u64,
        permit: Option<OwnedSemaphorePermit>,
        exchange: F,
    ) {
        let mut exchange = std::pin::pin!(exchange);
        tokio::select! {
            _ = &mut exchange => return,
            () = gate.silenced(connection) => {}
        }
        // A silent connection must not keep a new one from being opened.
        drop(permit);
        let _ = tokio::time::timeout(SILENT_HOLD, exchange).await;
    }

    /// Number of the connection.
    pub(crate) fn connection(&self) -> u64 {
        self.connection
    }
}

/// Looks at the first bytes of a connection without consuming them.
async fn is_admin(stream: &TcpStream) -> bool {
    const METHODS: [&[u8]; 2] = [b"GET /admin/", b"POST /admin/"];
    let mut seen = [0; 12];
    loop {
        let Ok(count @ 1..) = stream.peek(&mut seen).await else {
            return false;
        };
        let seen = &seen[..count];
        if METHODS.iter().any(|method| seen.starts_with(method)) {
            return true;
        }
        if !METHODS.iter().any(|method| method.starts_with(seen)) {
            return false;
        }
        tokio::time::sleep(PEEK_PAUSE).await;
    }
}

/// Stream that neither reads nor writes while the gate holds it back.
pub(crate) struct GatedStream {
    stream: TcpStream,
    gate: Arc<Gate>,
    connection: u64,
    wait: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    closed: bool,
}

impl GatedStream {
    fn poll_pass(&mut self, cx: &mut Context<'_>) -> Poll<Pin<&mut TcpStream>> {
        loop {
            if let Some(wait) = &mut self.wait {
                ready!(wait.as_mut().poll(cx));
                self.wait = None;
            }
            if self.gate.flow.borrow().passes(self.connection) {
                return Poll::Ready(Pin::new(&mut self.stream));
            }
            let wait = self.gate.clone().passing(self.connection);
            self.wait = Some(Box::pin(wait));
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
        let before = buffer.filled().len();
        ready!(ready!(this.poll_pass(cx)).poll_read(cx, buffer))?;
        if buffer.filled().len() == before && !this.closed {
            this.closed = true;
            this.wait = Some(Box::pin(tokio::time::sleep(CLOSE_DELAY)));
            ready!(this.poll_pass(cx));
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
        ready!(self.get_mut().poll_pass(cx)).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.get_mut().poll_pass(cx)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.get_mut().poll_pass(cx)).poll_shutdown(cx)
    }
}
