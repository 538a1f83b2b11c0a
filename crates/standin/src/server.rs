//! HTTP server that the stand-ins run on.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::error::Error;
use crate::gate::{AdmittedConnection, Gate};

/// Maximum size of a request body.
const MAX_REQUEST_BODY_BYTES: usize = 16 << 20;

/// A complete response.
pub type Reply = Response<Full<Bytes>>;

/// Request handler of a stand-in.
pub trait Service: Send + Sync + 'static {
    /// Handles a request. `Error::ResponseDropped` closes the connection without a
    /// response, `Error::NotFound` becomes status 404, and any other error status 400.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;
}

/// A running stand-in. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Server<S> {
    address: SocketAddr,
    service: Arc<S>,
    task: JoinHandle<Infallible>,
}

impl<S> Server<S> {
    /// Address of the listener, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The stand-in itself, for direct access from a test.
    pub fn service(&self) -> &Arc<S> {
        &self.service
    }

    /// Stops the server. On return, the listener's port is free; open connections are
    /// closed shortly afterwards.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl<S> Drop for Server<S> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server whose connections pass through `gate`.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start<S: Service>(
    listen: SocketAddr,
    service: S,
    gate: Arc<Gate>,
) -> Result<Server<S>, Error> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let service = Arc::new(service);
    let task = tokio::spawn(accept_connections(listener, service.clone(), gate));
    Ok(Server {
        address,
        service,
        task,
    })
}

async fn accept_connections<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    gate: Arc<Gate>,
) -> Infallible {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // Nagle's algorithm may delay small responses until an
                    // acknowledgement.
                    let _ = stream.set_nodelay(true);
                    let registered = gate.register();
                    let (service, gate) = (service.clone(), gate.clone());
                    connections.spawn(async move {
                        let number = registered.0;
                        let serve = async {
                            if let Some(admitted) = gate.admit(stream, registered).await {
                                serve_connection(admitted, service, &gate).await;
                            }
                        };
                        tokio::select! {
                            // A closed connection must not start another request.
                            biased;
                            () = gate.wait_until_closed(number) => {}
                            () = serve => {}
                        }
                    });
                }
                // Usually the process is out of file descriptors; an immediate retry
                // would busy-loop.
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<S: Service>(admitted: AdmittedConnection, service: Arc<S>, gate: &Gate) {
    let number = admitted.number();
    let handler = service_fn(move |request| handle_request(service.clone(), request));
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(admitted.stream), handler);
    AdmittedConnection::drive_to_end(gate, number, admitted.permit, connection).await;
}

async fn handle_request<S: Service>(
    service: Arc<S>,
    request: Request<Incoming>,
) -> Result<Reply, Error> {
    service.handle(request).await.or_else(error_reply)
}

/// Builds the response to a request whose handler failed.
///
/// # Errors
///
/// `Error::ResponseDropped` has no response and is returned.
pub(crate) fn error_reply(error: Error) -> Result<Reply, Error> {
    match error {
        Error::ResponseDropped => Err(error),
        Error::NotFound(_) => Ok(text(404, &error.to_string())),
        _ => Ok(text(400, &error.to_string())),
    }
}

/// Builds a plain text response.
pub fn text(status: u16, text: &str) -> Reply {
    reply(status, "text/plain", Bytes::from(format!("{text}\n")))
}

/// Builds a JSON response.
pub fn json(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("responses have string keys");
    reply(status, "application/json", Bytes::from(body))
}

fn reply(status: u16, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    let content_type = header::HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}

/// Reads a whole request body.
///
/// # Errors
///
/// The body is too large or incomplete.
pub async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, MAX_REQUEST_BODY_BYTES).collect().await;
    let collected = collected.map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(collected.to_bytes())
}

/// Parses a parameter of a query such as `from=7&max=100`. Returns `default` if it is
/// absent.
///
/// # Errors
///
/// The value is not percent-encoded UTF-8, or it cannot be parsed.
pub fn query_param<T: FromStr>(query: Option<&str>, name: &str, default: T) -> Result<T, Error> {
    let pairs = query.unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    match pairs.find(|(key, _)| *key == name) {
        None => Ok(default),
        Some((_, value)) => {
            let malformed = || Error::Malformed(format!("parameter {name} cannot be parsed"));
            let value = percent_decode_str(value).decode_utf8();
            let value = value.map_err(|_| malformed())?;
            value.parse().map_err(|_| malformed())
        }
    }
}

/// Loopback address with port 0, for which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Opens a connection with Nagle's algorithm disabled.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
