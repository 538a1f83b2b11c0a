//! Tasks of the control thread. Each brings its result back as an input.

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
use crate::platform::{List, Log, Server};

/// Time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed read.
pub(super) const READ_RETRY: Duration = Duration::from_millis(200);

/// Time between two reads of the list by the control holder.
const LIST_EVERY: Duration = Duration::from_millis(500);

/// Other instances read once in this many rounds, to know the list when elected.
/// The list was measured as the largest part of an ordinary member's traffic.
const LIST_REST: u64 = 10;

/// Reads the next records after a pause.
pub(super) fn read_log(
    log: Arc<dyn Log>,
    from: Offset,
    delay: Duration,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        let outcome = log.read(from, READ_WAIT).await;
        inputs.send(Input::Read(outcome)).ok();
    });
}

/// Appends a record. Its fate is learnt by reading it back, so the answer only
/// counts as a metric.
pub(super) fn append(log: Arc<dyn Log>, record: Record, app: Arc<App>) {
    spawn_local(async move {
        let event = match log.append(record.encode()).await {
            Ok(_) => "append",
            Err(_) => "append_unanswered",
        };
        app.metrics.event(event);
    });
}

/// Queries an upstream or sends it a grant.
pub(super) fn call(
    server: Arc<dyn Server>,
    upstream: Upstream,
    address: SocketAddr,
    request: Option<grant::Request>,
    asked: Time,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        let outcome = match request {
            Some(request) => server.grant(address, request).await,
            None => server.query(address).await,
        };
        let input = match outcome {
            Ok(answer) => Input::Answered(upstream, asked, answer),
            Err(_) => Input::Unanswered(upstream),
        };
        inputs.send(input).ok();
    });
}

/// Reads records, or a copy of the state, from a peer.
pub(super) fn fetch(
    client: Client,
    peer: SocketAddr,
    from: Offset,
    inputs: UnboundedSender<Input>,
) {
    spawn_local(async move {
        let input = match client.fetch(peer, from).await {
            Ok(PeerCopy::Records(records)) => Input::Fetched(records),
            Ok(PeerCopy::State(state)) => Input::Copied(state),
            Err(_) => Input::Fetched(Vec::new()),
        };
        inputs.send(input).ok();
    });
}

/// Reads the platform's list again and again, most often at the control holder,
/// which alone acts on it.
pub(super) fn poll_list(list: Arc<dyn List>, app: Arc<App>, inputs: UnboundedSender<Input>) {
    spawn_local(async move {
        for round in 0_u64.. {
            let due = app.holds_control() || round.is_multiple_of(LIST_REST);
            if due
                && let Ok(listed) = list.read().await
                && inputs.send(Input::Listed(listed)).is_err()
            {
                return;
            }
            tokio::time::sleep(LIST_EVERY).await;
        }
    });
}

/// Receives frames; counts and drops those that do not pass the checks.
pub(super) fn receive(
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
                Err(_) => app.metrics.event("frame_dropped"),
            }
        }
    });
}
