//! Listeners: callers, readiness and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::platform::headers::READY_PATH;
use crate::proxy;
use crate::read_ahead::ReadAheadStream;
use crate::state::State;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Smallest buffer for a request head that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8 * 1024;

/// Time to wait after an accept failed, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for a caller to close its end of a connection that was closed here.
const LINGER: Duration = Duration::from_millis(500);

/// Idle time of connections to the readiness and metrics addresses.
const STATUS_IDLE: Duration = Duration::from_secs(15);

/// Open connections of callers, and the order to close them.
#[derive(Debug)]
pub struct ConnectionTracker {
    open: Cell<usize>,
    close: watch::Sender<bool>,
}

impl Default for ConnectionTracker {
    fn default() -> ConnectionTracker {
        ConnectionTracker {
            open: Cell::new(0),
            close: watch::channel(false).0,
        }
    }
}

impl ConnectionTracker {
    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Closes every connection after the answer that is under way.
    pub fn close_gracefully(&self) {
        self.close.send_replace(true);
    }
}

/// Opens a listening socket.
///
/// # Errors
///
/// If the address can't be used.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until `stop` is set.
pub async fn serve_callers(
    state: Rc<State>,
    listener: TcpListener,
    connections: Rc<ConnectionTracker>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.open.set(connections.open.get() + 1);
                let (state, connections) = (Rc::clone(&state), Rc::clone(&connections));
                tokio::task::spawn_local(async move {
                    connection(state, stream, &connections).await;
                    connections.open.set(connections.open.get() - 1);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(state: Rc<State>, stream: TcpStream, connections: &ConnectionTracker) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "a connection ended before it was served");
        return;
    }
    let limits = state.route_table.borrow().config().limits.clone();
    let socket = ReadAheadStream::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let (state, socket) = (Rc::clone(&state), socket.clone());
        // Boxed, so that the connection can be taken apart at its end.
        Box::pin(async move { answer(&state, &socket, request).await })
    });
    let mut close = connections.close.subscribe();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time before a head as part of its time.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut connection = connection;
    let ended = tokio::select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
        _ = close.wait_for(|close| *close) => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    match ended {
        Ok(()) => linger(connection.into_parts().io.into_inner()).await,
        Err(error) => tracing::trace!(%error, "a caller's connection ended"),
    }
}

/// Serves a request, or drops it once its caller has left.
///
/// # Errors
///
/// `BrokenPipe` if the caller has left; the connection ends then.
async fn answer(
    state: &Rc<State>,
    socket: &ReadAheadStream,
    request: Request<Incoming>,
) -> std::io::Result<Response<Full<Bytes>>> {
    // Requests that came before the close are dropped as well.
    let left = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
    if socket.is_closed() {
        return Err(left());
    }
    let serving = pin!(proxy::serve(state, request));
    tokio::select! {
        response = serving => Ok(response),
        () = socket.closed() => Err(left()),
    }
}

/// Closes a connection so that the last answer arrives.
///
/// Requests that came behind it were not read. Closing with unread bytes would
/// reset the connection and discard the answer, so they are read and dropped.
async fn linger(mut stream: ReadAheadStream) {
    let closing = async {
        stream.shutdown().await?;
        let mut rest = [0; 4096];
        while stream.read(&mut rest).await? > 0 {}
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(LINGER, closing).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::trace!(%error, "a caller's connection was reset"),
        Err(_) => tracing::trace!("a caller didn't close its connection"),
    }
}

/// Serves readiness and metrics.
pub async fn serve_status(state: Rc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let answer = status(&state, request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(STATUS_IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::trace!(%error, "a status connection ended");
            }
        });
    }
}

fn status(state: &State, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        READY_PATH if state.is_ready() => (StatusCode::OK, Bytes::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        "/metrics" => match state.metrics.encode() {
            Ok(text) => (StatusCode::OK, text.into()),
            Err(error) => {
                tracing::error!(%error, "metrics can't be written");
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        },
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
