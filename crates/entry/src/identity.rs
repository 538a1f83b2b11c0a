//! Verification of which upstream listens at an address.
//!
//! A registration may name an address where nothing listens, or another upstream does. Every
//! upstream refuses what is addressed to another one, and health checks cost it least.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Request, header};
use medlarreel_core::ids::Upstream;

use crate::body::Payload;
use crate::connection::{Connection, Wanted};
use crate::error::Error;
use crate::memory::Memory;
use crate::platform::headers::{self, Sender};
use crate::state::State;

/// Timeout of each step of a health check.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum interval between two health checks of an upstream.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// Address at which an upstream is registered, and how to verify that it listens there.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Id of the upstream.
    pub id: String,
    /// Address at which it is registered.
    pub address: SocketAddr,
    /// Path of the health checks of its service.
    pub health_path: String,
    /// Whether another upstream is registered at the address.
    pub is_contested: bool,
}

impl Claim {
    /// Sends a health check that is addressed to the upstream. The result is that of `verify`.
    async fn check(&self, memory: &Memory) -> Result<(Connection, HeaderMap), Error> {
        let mut connection = Connection::connect(self.address, TIMEOUT).await?;
        let request = Request::get(&self.health_path)
            .header(header::HOST, self.address.to_string())
            .header(headers::TARGET_INSTANCE, &self.id)
            .body(Payload::default())
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let response = connection
            .call(request, TIMEOUT, Wanted::Head, memory)
            .await?;
        let sender = match headers::sender(response.status, &response.headers, &self.id) {
            // A refusal without a name may come from the rival.
            Sender::Addressee if self.is_contested => {
                headers::named_sender(&response.headers, &self.id)
            }
            sender => sender,
        };
        match sender {
            Sender::Addressee => Ok((connection, response.headers)),
            Sender::Another => Err(Error::Misdirected),
            Sender::Unknown => Err(Error::Refused(response.status.as_u16())),
        }
    }
}

/// Verifies by a health check that an upstream listens at its address, and records the result in
/// the directory. Returns the connection and the header fields of the response.
///
/// # Errors
///
/// Returns `Misdirected` if another upstream has responded, and another error if it is not
/// known which one listens there.
pub async fn verify(
    state: &State,
    upstream: Upstream,
    claim: &Claim,
) -> Result<(Connection, HeaderMap), Error> {
    let sent = state.clock.now();
    let response = claim.check(&state.memory).await;
    match &response {
        Ok(_) => state.record_answer(upstream, sent),
        Err(Error::Misdirected) => state.record_displacement(upstream),
        Err(_) => {}
    }
    response
}

/// Verifies that an upstream still listens at its address if another one is registered there
/// as well, at most once in `INTERVAL`.
pub fn verify_contested(state: &Rc<State>, upstream: Upstream) {
    if !state.directory.borrow().has_rival(upstream) {
        return;
    }
    let Some(claim) = state.claim(upstream) else {
        return;
    };
    let now = state.clock.now();
    let mut verified = state.claims_verified.borrow_mut();
    verified.retain(|_, at| now.since(*at) < INTERVAL);
    if verified.insert(upstream, now).is_some() {
        return;
    }
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        match verify(&state, upstream, &claim).await {
            Ok(_) | Err(Error::Misdirected) => {}
            Err(error) => {
                let (id, address) = (claim.id, claim.address);
                tracing::info!(upstream = id, %address, %error, "not known who listens");
            }
        }
    });
}
