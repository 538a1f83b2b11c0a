//! Cost of encoding and decoding datagrams, and of the replay check.

use medlarreel_core::ids::{Instance, Offset};
use medlarreel_core::wire::frame::{Key, ReplayGuard};
use medlarreel_core::wire::{Frame, Message};

use super::measure;
use super::sizes::{LARGE_VALUE, assignment, report};
use super::table::{Table, slope};

const OPERATIONS: usize = 1_000;

/// Largest UDP payload in one Ethernet frame, after the IPv4 and UDP headers.
const MAX_UDP_PAYLOAD_BYTES: usize = 1_500 - 28;

/// Costs by message, and by the number of senders that the replay guard tracks.
pub fn tables() -> Vec<Table> {
    vec![by_message(), replay_check()]
}

fn by_message() -> Table {
    let columns = [
        "message",
        "bytes",
        "Ethernet frames",
        "encode ns",
        "slope",
        "decode ns",
        "slope",
    ];
    let mut table = Table::new("wire::Frame, by message", &columns);
    let (mut previous_encode, mut previous_decode) = (None, None);
    let key = Key::new(b"the cluster's secret", "kashmir");
    for (name, message) in messages() {
        let frame = Frame {
            sender: Instance(LARGE_VALUE),
            counter: 1_000_000,
            message,
        };
        let datagram = frame.encode(&key).expect("the frame is within its limit");
        let encode_ns = measure(&frame, OPERATIONS, |frame| {
            (0..OPERATIONS)
                .filter(|_| frame.encode(&key).is_ok())
                .count()
        });
        let decode_ns = measure(&datagram, OPERATIONS, |datagram| {
            let frames = (0..OPERATIONS).filter(|_| Frame::decode(&key, datagram).is_ok());
            frames.count()
        });
        let size = datagram.len() as f64;
        table.add_row(vec![
            name,
            datagram.len().to_string(),
            datagram.len().div_ceil(MAX_UDP_PAYLOAD_BYTES).to_string(),
            format!("{encode_ns:.0}"),
            slope(previous_encode, size, encode_ns),
            format!("{decode_ns:.0}"),
            slope(previous_decode, size, decode_ns),
        ]);
        (previous_encode, previous_decode) = (Some((size, encode_ns)), Some((size, decode_ns)));
    }
    table
}

fn messages() -> Vec<(String, Message)> {
    let mut messages = vec![("Progress".to_owned(), Message::Progress(Offset(1_000_000)))];
    for shards in [10, 40, 69, 140, 1_000, 5_000] {
        let name = format!("Assign, {shards} shards");
        messages.push((name, Message::Assign(assignment(shards))));
    }
    for upstreams in [1, 8, 32] {
        let name = format!("Report, {upstreams} upstreams");
        messages.push((name, Message::Report(report(upstreams))));
    }
    messages
}

fn replay_check() -> Table {
    let columns = ["senders", "accept ns", "slope"];
    let mut table = Table::new("frame::ReplayGuard, by senders in turn", &columns);
    let mut previous = None;
    for senders in [10, 100, 1_000, 14_000_u64] {
        let mut guard = ReplayGuard::new();
        let accept_all = |guard: &mut ReplayGuard, counter: u64| {
            let ids = 0..senders;
            ids.filter(|sender| guard.accept(Instance(*sender), counter).is_ok())
                .count()
        };
        accept_all(&mut guard, 1);
        let accept_ns = measure(&guard, senders as usize, |guard| accept_all(guard, 2));
        let size = senders as f64;
        table.add_row(vec![
            senders.to_string(),
            format!("{accept_ns:.0}"),
            slope(previous, size, accept_ns),
        ]);
        previous = Some((size, accept_ns));
    }
    table
}
