//! Listeners for callers, readiness probes and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::body;
use crate::bounded_stream::BoundedStream;
use crate::callers::{CONNECTION_BYTES, OpenConnection};
use crate::platform::headers::READY_PATH;
use crate::proxy;
use crate::read_ahead::ReadAheadStream;
use crate::state::State;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Smallest buffer size for a request head that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time that a caller gets to close its end of a connection after this end was closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a new connection gets to deliver its first request during a shutdown.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that a new connection waits for another one to end if descriptors have run out.
/// Callers give up a connection that is not established within a second.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(300);

/// Idle timeout of connections to the readiness and metrics addresses.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Opens a listening socket.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts and serves connections of callers until `stop` is set.
pub async fn serve_callers(
    state: Rc<State>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            // Connections that wait to be accepted are reset when the listener is closed.
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if !state.callers.make_room(MAX_ROOM_WAIT).await {
                    tracing::info!("connection refused: no descriptors are left for it");
                    state.metrics.refused_connections.inc();
                    continue;
                }
                let (state, open) = (Rc::clone(&state), state.callers.open());
                tokio::task::spawn_local(serve_connection(state, stream, open));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<State>, stream: TcpStream, open: Rc<OpenConnection>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection closed before it was served");
        return;
    }
    let limits = state.route_table.borrow().config().limits.clone();
    let max_head_bytes = limits.head_bytes.max(MIN_BUFFER_BYTES);
    let socket = ReadAheadStream::new(stream, Rc::clone(&open), max_head_bytes);
    let has_request = Cell::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        has_request.set(true);
        open.record_request();
        let (state, socket, open) = (Rc::clone(&state), socket.clone(), Rc::clone(&open));
        // Boxed because `poll_without_shutdown` requires the future to be `Unpin`. That
        // call leaves the stream open for `close_with_linger`.
        Box::pin(async move {
            let has_body = request.method() != Method::HEAD;
            let response = serve_while_connected(&state, &socket, request).await?;
            let body = response.body();
            if let Some(lease) = body.lease() {
                lease.set_signal(open.abort_signal());
            }
            open.record_response(if has_body { body.len() } else { 0 });
            Ok::<_, std::io::Error>(response)
        })
    });
    let mut close = state.callers.closing();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper's header timeout includes the idle time before a request head.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(max_head_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut connection = connection;
    let serving = async {
        tokio::select! {
            ended = poll_fn(|context| connection.poll_without_shutdown(context)) => return ended,
            () = wait_for_close(&mut close, &has_request) => {}
        }
        Pin::new(&mut connection).graceful_shutdown();
        poll_fn(|context| connection.poll_without_shutdown(context)).await
    };
    let ended = tokio::select! {
        ended = serving => ended,
        () = open.abort_signal().notified() => return,
    };
    match ended {
        Ok(()) => close_with_linger(connection.into_parts().io.into_inner()).await,
        Err(error) => tracing::trace!(%error, "caller connection failed"),
    }
}

/// Waits until a connection is to be closed. On a new one, waits a little longer for its
/// first request, which may be on its way.
async fn wait_for_close(close: &mut watch::Receiver<bool>, has_request: &Cell<bool>) {
    // The tracker outlives its connections, so waiting cannot fail.
    close.wait_for(|close| *close).await.ok();
    if !has_request.get() {
        tokio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
    }
}

/// Serves a request, or drops it once its caller has closed the connection.
///
/// # Errors
///
/// Returns `BrokenPipe` if the caller has closed the connection, which ends it on this
/// side too.
async fn serve_while_connected(
    state: &Rc<State>,
    socket: &ReadAheadStream,
    request: Request<Incoming>,
) -> std::io::Result<Response<body::Response>> {
    // Pipelined requests that arrived before the close are dropped as well.
    let caller_left = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
    if socket.is_closed() {
        return Err(caller_left());
    }
    let serving = pin!(proxy::serve_request(state, request));
    tokio::select! {
        response = serving => Ok(response),
        () = socket.wait_closed() => Err(caller_left()),
    }
}

/// Closes a connection in a way that lets the last response reach the caller.
///
/// Requests that were pipelined behind the last one are still unread. Closing a socket
/// with unread data resets the connection, which could discard the response. The data is
/// therefore read and dropped first.
async fn close_with_linger(mut stream: ReadAheadStream) {
    let closing = async {
        stream.shutdown().await?;
        let mut discarded = [0; 4096];
        while stream.read(&mut discarded).await? > 0 {}
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(LINGER_TIMEOUT, closing).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::trace!(%error, "caller connection was reset"),
        Err(_) => tracing::trace!("caller did not close its connection in time"),
    }
}

/// Serves the readiness probe and the metrics.
pub async fn serve_status(state: Rc<State>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let _memory = state.memory.take(CONNECTION_BYTES);
            let service = service_fn(|request: Request<Incoming>| {
                let response = status_response(&state, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(STATUS_IDLE_TIMEOUT)
                .max_buf_size(MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(BoundedStream::new(stream)), service)
                .await;
            if let Err(error) = served {
                tracing::trace!(%error, "status connection failed");
            }
        });
    }
}

fn status_response(state: &State, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        READY_PATH if state.is_ready() => (StatusCode::OK, Bytes::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        "/metrics" => match state.metrics.encode() {
            Ok(text) => (StatusCode::OK, text.into()),
            Err(error) => {
                tracing::error!(%error, "failed to encode metrics");
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        },
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
