//! Start and stop of one instance.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Context, Result};
use http::HeaderValue;
use medlarreel_core::ids::Instance;
use medlarreel_core::record::Member;

use crate::app::App;
use crate::clock::Clock;
use crate::control::{self, Handle, Setup};
use crate::dispatch::BufferedResponse;
use crate::listen::{
    self, IncomingRequest, Limits, MAX_HEADERS, MAX_PEER_HEAD_OVERHEAD, MAX_PEER_HEADERS, Server,
};
use crate::operators::OperatorApi;
use crate::peers;
use crate::platform::grants::HttpGrantClient;
use crate::platform::list::HttpUpstreamList;
use crate::platform::log::HttpLog;
use crate::proxy;
use crate::settings::Settings;

/// Threads that serve peers, beside those that serve callers.
const PEER_WORKERS: usize = 2;

/// Largest body on the callers' and peers' listeners, before the service's own
/// limit is known, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Largest body on the operators' listener, in bytes.
const MAX_OPERATOR_BODY: usize = 256 * 1024;

/// Largest head on the operators' listener, in bytes.
const OPERATOR_HEAD: usize = 16 * 1024;

/// Time in which a body must arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Idle time after which a caller's connection is closed.
const CALLER_IDLE: Duration = Duration::from_secs(60);

/// Time between checks of whether all requests have ended.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// Time that listeners stay open after readiness was withdrawn, so that the
/// balancer notices.
const READINESS_LEAD: Duration = Duration::from_millis(500);

/// Time that peers may still forward requests after the leases were handed over.
/// Without it, a request that arrives while the connections close is lost.
const PEER_LEAD: Duration = Duration::from_millis(500);

/// Time in which the last answers are written once their requests have ended.
const WRITE_LIMIT: Duration = Duration::from_millis(500);

/// Exit code after a drain that cut off requests.
pub const EXIT_REQUESTS_CUT_OFF: i32 = 3;

/// A running instance.
pub struct Daemon {
    app: Arc<App>,
    control: Handle,
    callers: Server,
    peers: Server,
    drain: Duration,
}

impl Daemon {
    /// Opens the listeners and starts all threads.
    ///
    /// # Errors
    ///
    /// If an address cannot be opened or a secret cannot be used.
    pub fn start(settings: &Settings) -> Result<Daemon> {
        let clock = Clock::start();
        // Identities travel as JSON numbers, which are exact only below 2^53.
        let me = Instance(rand::random::<u64>() >> 11);
        let secret = settings.security.cluster_secret.expose().to_owned();
        let token = peer_token(&secret).wrap_err("the cluster secret cannot be used")?;
        let home = settings.instance.club.clone();
        let domain = settings.instance.domain.clone();
        let limit = settings.limits.open_requests;
        let app = Arc::new(App::new(
            me,
            home.clone(),
            domain.clone(),
            clock,
            token,
            limit,
        ));
        let member = Member {
            instance: me,
            club: home,
            domain,
            peers: settings.listen.peers,
        };
        let udp = bind_udp(settings.listen.peers)?;
        let control = control::start(Setup {
            member,
            app: Arc::clone(&app),
            log: Arc::new(HttpLog::new(
                &url(settings.platform.log),
                &settings.platform.stream,
            )),
            list: Arc::new(HttpUpstreamList::new(&url(settings.platform.list))),
            server: Arc::new(HttpGrantClient::new()),
            secret: Bytes::from(secret),
            socket: udp,
        })?;
        let callers = serve_callers(&app, settings)?;
        let peers = serve_peers(&app, settings)?;
        serve_operators(&app, settings, control.clone())?;
        tracing::info!(instance = me.0, callers = %settings.listen.callers, "instance started");
        Ok(Daemon {
            app,
            control,
            callers,
            peers,
            drain: settings.limits.drain,
        })
    }

    /// Shared state of the traffic threads.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Ends the instance gracefully and returns the exit code.
    ///
    /// Readiness goes first; requests in flight end; duties are handed over.
    /// `hurry` ends the wait early.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> i32 {
        tracing::info!(open = self.app.open_requests(), "shutdown started");
        self.app.withdraw_readiness();
        let drained = async {
            tokio::time::sleep(READINESS_LEAD).await;
            self.app.stop();
            self.control.stop().await;
            while self.app.open_requests() > 0 {
                tokio::time::sleep(DRAIN_STEP).await;
            }
            tokio::time::sleep(PEER_LEAD).await;
            while self.app.open_requests() > 0 {
                tokio::time::sleep(DRAIN_STEP).await;
            }
            // Connections to upstreams run on the threads of the listener that
            // opened them, and forwarded requests may use those as well.
            self.callers.stop(true);
            self.peers.stop(true);
            let ended = async {
                self.callers.wait_stopped().await;
                self.peers.wait_stopped().await;
            };
            // Idle connections may keep the threads; their answers are written.
            tokio::time::timeout(WRITE_LIMIT, ended).await.ok();
        };
        let finished = tokio::select! {
            outcome = tokio::time::timeout(self.drain, drained) => outcome.is_ok(),
            () = hurry => false,
        };
        self.peers.stop(false);
        let cut_off = self.app.open_requests();
        tracing::info!(cut_off, "shutdown finished");
        if finished && cut_off == 0 {
            0
        } else {
            EXIT_REQUESTS_CUT_OFF
        }
    }
}

fn url(address: SocketAddr) -> String {
    format!("http://{address}")
}

/// Token derived from the secret, so that the secret itself never travels.
fn peer_token(secret: &str) -> Result<HeaderValue> {
    let tag = medlarreel_core::wire::token::peer_token(secret.as_bytes());
    Ok(HeaderValue::try_from(tag)?)
}

fn bind_udp(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).wrap_err_with(|| format!("cannot open UDP {address}"))
}

fn bind_tcp(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))
}

fn serve_callers(app: &Arc<App>, settings: &Settings) -> Result<Server> {
    let limits = Limits {
        workers: usize::from(settings.limits.workers),
        head_timeout: settings.limits.head_timeout,
        body_timeout: BODY_TIME,
        idle_timeout: CALLER_IDLE,
        max_body: MAX_BODY,
        max_head_size: settings.limits.head_size as usize,
        max_headers: MAX_HEADERS,
        limit_open_requests: true,
    };
    let socket = bind_tcp(settings.listen.callers)?;
    Ok(listen::start(Arc::clone(app), socket, limits, caller)?)
}

async fn caller(app: Arc<App>, incoming: IncomingRequest) -> BufferedResponse {
    proxy::serve(&app, incoming.head(), incoming.body.clone()).await
}

fn serve_peers(app: &Arc<App>, settings: &Settings) -> Result<Server> {
    let limits = Limits {
        workers: PEER_WORKERS,
        head_timeout: BODY_TIME,
        body_timeout: BODY_TIME,
        idle_timeout: CALLER_IDLE,
        max_body: MAX_BODY,
        max_head_size: settings.limits.head_size as usize + MAX_PEER_HEAD_OVERHEAD,
        max_headers: MAX_PEER_HEADERS,
        limit_open_requests: false,
    };
    let socket = bind_tcp(settings.listen.peers)?;
    Ok(listen::start(
        Arc::clone(app),
        socket,
        limits,
        peers::serve,
    )?)
}

fn serve_operators(app: &Arc<App>, settings: &Settings, control: Handle) -> Result<Server> {
    let limits = Limits {
        workers: 1,
        head_timeout: BODY_TIME,
        body_timeout: BODY_TIME,
        idle_timeout: CALLER_IDLE,
        max_body: MAX_OPERATOR_BODY,
        max_head_size: OPERATOR_HEAD,
        max_headers: MAX_HEADERS,
        limit_open_requests: false,
    };
    let token = settings.security.operator_token.expose().into();
    let operators = OperatorApi { control, token };
    let socket = bind_tcp(settings.listen.operators)?;
    let handler = move |app, incoming| operators.clone().serve(app, incoming);
    Ok(listen::start(Arc::clone(app), socket, limits, handler)?)
}
