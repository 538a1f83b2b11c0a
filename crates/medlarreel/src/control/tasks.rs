//! Asynchronous tasks of the control thread, which return their results as inputs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarreel_core::grant;
use medlarreel_core::ids::{Offset, Upstream};
use medlarreel_core::record::Record;
use medlarreel_core::time::Time;
use medlarreel_core::wire::frame::{Frame, Key, MAX_FRAME_BYTES, ReplayGuard};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

use super::Input;
use crate::app::App;
use crate::peers::{Client, PeerCopy};
use crate::platform::{GrantClient, Log, UpstreamList};

/// Time that a read of the log waits for new records.
const LOG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before the log is read again after a failure.
pub(super) const LOG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between reads of the upstream list by the control holder.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Number of intervals per read of the list by an instance that does not hold control.
/// It needs the list in case it is elected, but reading the list is the largest part of
/// its control traffic.
const NON_HOLDER_LIST_ROUNDS: u64 = 10;

/// Reads the next records from the log after a delay.
pub(super) fn read_log(
    log: Arc<dyn Log>,
    from: Offset,
    delay: Duration,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        let outcome = log.read(from, LOG_POLL_TIMEOUT).await;
        inputs.send(Input::LogRead(outcome)).ok();
    });
}

/// Appends a record to the log. The result of the append only counts as a metric,
/// because the record takes effect when it is read back.
pub(super) fn append_record(log: Arc<dyn Log>, record: Record, app: Arc<App>) {
    spawn_local(async move {
        let event = match log.append(record.encode()).await {
            Ok(_) => "append",
            Err(_) => "append_unanswered",
        };
        app.metrics.count_event(event);
    });
}

/// Sends a grant to an upstream, or queries its state if there is no grant.
pub(super) fn query_or_grant(
    grant_client: Arc<dyn GrantClient>,
    upstream: Upstream,
    address: SocketAddr,
    request: Option<grant::Request>,
    sent_at: Time,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        let outcome = match request {
            Some(request) => grant_client.grant(address, request).await,
            None => grant_client.query(address).await,
        };
        let input = match outcome {
            Ok(response) => Input::GrantAnswered(upstream, sent_at, response),
            Err(_) => Input::GrantUnanswered(upstream),
        };
        inputs.send(input).ok();
    });
}

/// Fetches records, or the whole state, from a peer. A failed fetch ends like one that
/// returned no records.
pub(super) fn fetch_from_peer(
    client: Client,
    peer: SocketAddr,
    from: Offset,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        let input = match client.fetch(peer, from).await {
            Ok(PeerCopy::Records(records)) => Input::PeerRecords(records),
            Ok(PeerCopy::State(state)) => Input::PeerState(state),
            Err(_) => Input::PeerRecords(Vec::new()),
        };
        inputs.send(input).ok();
    });
}

/// Polls the platform's upstream list. The control holder polls most often, since only
/// it acts on the list.
pub(super) fn poll_list(
    list: Arc<dyn UpstreamList>,
    app: Arc<App>,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        for round in 0_u64.. {
            let due = app.holds_control() || round.is_multiple_of(NON_HOLDER_LIST_ROUNDS);
            if due
                && let Ok(listed) = list.read().await
                && inputs.send(Input::UpstreamList(listed)).is_err()
            {
                return;
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    });
}

/// Receives frames; drops and counts those that fail authentication or replay checks.
pub(super) fn receive_frames(
    socket: Arc<UdpSocket>,
    key: Key,
    app: Arc<App>,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        let mut buffer = vec![0; MAX_FRAME_BYTES + 1];
        let mut replay = ReplayGuard::new();
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let frame = Frame::decode(&key, &buffer[..length]);
            let fresh = frame.and_then(|frame| {
                replay.accept(frame.sender, frame.counter)?;
                Ok(frame)
            });
            match fresh {
                Ok(frame) => drop(inputs.send(Input::Frame(frame.sender, frame.message))),
                Err(_) => app.metrics.count_event("frame_dropped"),
            }
        }
    });
}
