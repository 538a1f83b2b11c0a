//! Reception and handling of messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::era::Era;
use medlarreel_core::entry::fragments::Reassembler;
use medlarreel_core::entry::transfer::Process;
use tokio::net::UdpSocket;

use super::{MAX_DATAGRAM_BYTES, Message, heartbeat, missed, send, send_to_each};
use crate::crashes::{self, trials};
use crate::permits;
use crate::reader::bootstrap;
use crate::state::{Member, PendingTransfer, State};

/// Receives and handles messages until the process ends.
pub async fn receive(state: Rc<State>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reassembler = Reassembler::default();
    let mut taken = state.memory.take(MAX_DATAGRAM_BYTES);
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "failed to receive message");
                continue;
            }
        };
        let message = match postcard::from_bytes(&buffer[..length]) {
            Ok(Message::Fragment(fragment)) => {
                let now = state.clock.now();
                let complete = reassembler.add(now, from, fragment);
                taken.resize(MAX_DATAGRAM_BYTES + reassembler.held_bytes());
                let Some(complete) = complete else {
                    continue;
                };
                postcard::from_bytes(&complete)
            }
            message => message,
        };
        match message {
            Ok(message) => handle_message(&state, &socket, from, message).await,
            Err(error) => tracing::debug!(%from, %error, "failed to decode message"),
        }
    }
}

/// Handles a message that was received from `from`.
async fn handle_message(state: &Rc<State>, socket: &UdpSocket, from: SocketAddr, message: Message) {
    let now = state.clock.now();
    {
        let mut members = state.members.borrow_mut();
        let sender = members.values_mut().find(|member| member.address == from);
        if let Some(sender) = sender {
            sender.last_heard = Some(now);
        }
    }
    let message = match message {
        Message::Relay { receivers, message } => {
            let inner = postcard::from_bytes(&message);
            send_to_each(socket, &receivers, Some(message)).await;
            match inner {
                Ok(inner) => inner,
                Err(error) => {
                    tracing::debug!(%from, %error, "failed to decode relayed message");
                    return;
                }
            }
        }
        message => message,
    };
    match message {
        Message::Hello {
            name,
            started,
            cpu_percent,
            domain,
            first_era,
        } => {
            let member = Member {
                address: from,
                started,
                cpu_percent,
                domain,
                first_era,
                last_heard: Some(now),
            };
            let previous = state.add_member(name.clone(), member);
            // While the leader is silent, instances introduce themselves again and again.
            if previous.as_ref().map(|previous| previous.started) != Some(started) {
                tracing::info!(name, %from, replaced = previous.is_some(), "instance joined");
            }
            // The new instance requests what the heartbeat shows that it has missed.
            let published = state.published_revision();
            if let Some(revision) = published {
                send(socket, from, &heartbeat(state, now, revision)).await;
            }
        }
        Message::Heartbeat {
            epoch,
            name,
            store_reachable,
            revision,
            progress: topic_progress,
            blocked_digest,
        } => {
            state.observe_store_era(Era::of_epoch(epoch));
            for (_, progress) in &topic_progress {
                state.observe_store_era(progress.era);
            }
            let previous_epoch = state.leadership.borrow().epoch();
            if state
                .leadership
                .borrow_mut()
                .observe_heartbeat(now, epoch, &name, store_reachable)
            {
                tracing::info!(epoch, leader = name, "leader changed");
                state.metrics.epoch.set(epoch as i64);
                if previous_epoch.is_some() {
                    crate::leader::step_down(state);
                }
            }
            if epoch >= state.leadership.borrow().highest_epoch() {
                if let Some(report) = crate::leader::repeat_report(state, epoch) {
                    let leader = state.leader_address().unwrap_or(from);
                    send(socket, leader, &report).await;
                }
                for (topic, progress) in &topic_progress {
                    if state.feed(*topic).observe_reader(now, progress) {
                        state.record_store_contact();
                    }
                }
                missed::request_records(state, socket, from).await;
                missed::request_owners(state, socket, from, revision).await;
                let leader = state.leader_address().unwrap_or(from);
                crashes::synchronize(state, socket, leader, blocked_digest).await;
            }
        }
        // Fragments are reassembled on receipt and are never nested, nor are relayed
        // messages.
        Message::Fragment(_) | Message::Relay { .. } => {}
        Message::Records(batch) => {
            state.observe_store_era(batch.era);
            // The leader forwards what it reads, so it must read everything itself.
            if state.leadership.borrow().epoch().is_none() {
                crate::reader::receive_records(state, batch);
                missed::request_records(state, socket, from).await;
            }
        }
        Message::RecordsRequest { topic, from: first } => {
            for batch in state.feed(topic).batches_from(now, first) {
                send(socket, from, &Message::Records(batch)).await;
            }
        }
        Message::SnapshotRequest { topic, sent_at } => {
            if let Some(snapshot) = bootstrap::snapshot(state, topic, sent_at)
                && state.allow_bulk_message()
            {
                send(socket, from, &Message::Snapshot(snapshot)).await;
            }
        }
        Message::Snapshot(snapshot) => bootstrap::receive_snapshot(state, snapshot),
        Message::ReadProgress { topic, progress } => {
            state.observe_store_era(progress.era);
            if state.feed(topic).observe_reader(now, &progress) {
                state.record_store_contact();
            }
            missed::request_records(state, socket, from).await;
        }
        Message::OwnersRequest { revision } => {
            missed::send_owners(state, socket, from, revision).await;
        }
        Message::Owners(map) => {
            if map.epoch >= state.leadership.borrow().highest_epoch() {
                state.adopt_owner_map(map);
            }
        }
        Message::OwnersChange(change) => {
            let current = change.to.0 >= state.leadership.borrow().highest_epoch();
            let revision = change.to;
            if current && !state.apply_owner_change(change) {
                // An earlier change was lost, or this instance has no map yet.
                missed::request_owners(state, socket, from, revision).await;
            }
        }
        Message::Resigned { epoch, snapshot } => {
            state
                .leadership
                .borrow_mut()
                .observe_resignation(now, epoch);
            if let (Some(ledger), Some(snapshot)) = (state.ledger.borrow_mut().as_mut(), snapshot) {
                ledger.handle_predecessor_stop(epoch, now, &snapshot);
            }
        }
        Message::Transfer {
            snapshot,
            nonce,
            end,
            age_ms,
            request,
            verified,
        } => {
            let epoch = snapshot.owners.epoch;
            let sent = state
                .transfer_request
                .borrow_mut()
                .close(now, epoch, request);
            if let Some(sent) = sent
                && state.can_take_over(epoch)
            {
                // The reply was built after the request was sent, however late it arrives.
                let confirmed_at = sent - Duration::from_millis(age_ms);
                state.pending_transfer.replace(Some(PendingTransfer {
                    snapshot,
                    nonce,
                    end,
                    confirmed_at,
                    verified,
                }));
            }
        }
        Message::TransferOffer { epoch } => {
            if state.can_take_over(epoch) && state.pending_transfer.borrow().is_none() {
                let connected = crate::leader::prepare_takeover(state, epoch);
                let nonce = state
                    .transfer_request
                    .borrow_mut()
                    .send(now, epoch, rand::random());
                let request = Message::TransferRequest {
                    epoch,
                    started: state.started,
                    nonce,
                    connected,
                };
                send(socket, from, &request).await;
            }
        }
        Message::TransferRequest {
            epoch,
            started,
            nonce,
            connected,
        } => {
            let process = Process {
                address: from,
                started,
            };
            if crate::leader::accept_request(state, epoch, process, nonce, connected)
                && let Some(reply) = crate::leader::complete_transfer(state)
            {
                send(socket, from, &reply).await;
            }
        }
        Message::Leaving(upstreams) => state.record_all_leaving(&upstreams),
        Message::Absent(upstreams) => {
            let unknown = state.record_all_absent(upstreams);
            if state.leadership.borrow().epoch().is_some() {
                state.absent_upstreams.borrow_mut().extend(unknown);
                state.permits_wanted.notify_one();
            }
        }
        Message::PermitDemands(demands) => {
            permits::handle_demands(state, socket, from, demands).await;
        }
        Message::PermitGrants { epoch, grants } => permits::receive(state, epoch, grants),
        Message::RateLimits(announcements) => permits::learn(state, announcements),
        Message::Crashes {
            crashes,
            acquittals,
        } => crashes::receive(state, &crashes, &acquittals),
        Message::TrialRequest { fingerprint } => {
            let granted = trials::begin(state, fingerprint, from);
            let reply = Message::TrialReply {
                fingerprint,
                granted,
            };
            send(socket, from, &reply).await;
        }
        Message::TrialReply {
            fingerprint,
            granted,
        } => trials::receive_reply(state, fingerprint, granted),
        Message::TrialEnd { fingerprint } => trials::end(state, fingerprint, from),
        Message::CrashesRequest { crashes } => {
            crashes::receive(state, &crashes, &[]);
            crashes::answer_request(state, socket, from).await;
        }
        Message::Report {
            key_counts,
            run_times,
            leaving,
        } => {
            state.record_all_leaving(&leaving);
            for (id, runs, sum) in run_times {
                let upstream = state.directory.borrow().find(&id).map(|found| found.0);
                if let Some(upstream) = upstream {
                    let mut run_totals = state.run_times.borrow_mut();
                    let total = run_totals.entry(upstream).or_default();
                    *total = (total.0 + runs, total.1 + sum);
                }
            }
            let mut key_totals = state.key_counts.borrow_mut();
            for (service, keys) in key_counts {
                let totals = key_totals.entry(service).or_default();
                for (key, count) in keys {
                    *totals.entry(key).or_default() += count;
                }
            }
        }
    }
}
