//! Cost of encoding and decoding datagrams.

use medlarreel_core::ids::{Instance, Offset};
use medlarreel_core::wire::frame::{Key, ReplayGuard};
use medlarreel_core::wire::{Frame, Message};

use super::measure;
use super::sizes::{BIG, assignment, report};
use super::table::{Table, slope};

const ROUNDS: usize = 1_000;

/// Payload of an Ethernet frame without the IP and UDP headers.
const PAYLOAD: usize = 1_500 - 28;

/// Tables by message and by remembered senders.
pub fn tables() -> Vec<Table> {
    vec![by_message(), by_senders()]
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
    let (mut encodes, mut decodes) = (None, None);
    let key = Key::new(b"the cluster's secret", "kashmir");
    for (name, message) in messages() {
        let frame = Frame {
            sender: Instance(BIG),
            counter: 1_000_000,
            message,
        };
        let datagram = frame.encode(&key).expect("the frame is within its limit");
        let encode = measure(&frame, ROUNDS, |frame| {
            (0..ROUNDS).filter(|_| frame.encode(&key).is_ok()).count()
        });
        let decode = measure(&datagram, ROUNDS, |datagram| {
            let frames = (0..ROUNDS).filter(|_| Frame::decode(&key, datagram).is_ok());
            frames.count()
        });
        let size = datagram.len() as f64;
        table.row(vec![
            name,
            datagram.len().to_string(),
            datagram.len().div_ceil(PAYLOAD).to_string(),
            format!("{encode:.0}"),
            slope(encodes, size, encode),
            format!("{decode:.0}"),
            slope(decodes, size, decode),
        ]);
        (encodes, decodes) = (Some((size, encode)), Some((size, decode)));
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

fn by_senders() -> Table {
    let columns = ["senders", "accept ns", "slope"];
    let mut table = Table::new("frame::Replay, by senders in turn", &columns);
    let mut last = None;
    for senders in [10, 100, 1_000, 14_000_u64] {
        let mut replay = ReplayGuard::new();
        let all = |replay: &mut ReplayGuard, counter: u64| {
            let each = 0..senders;
            each.filter(|sender| replay.accept(Instance(*sender), counter).is_ok())
                .count()
        };
        all(&mut replay, 1);
        let accept = measure(&replay, senders as usize, |replay| all(replay, 2));
        let size = senders as f64;
        table.row(vec![
            senders.to_string(),
            format!("{accept:.0}"),
            slope(last, size, accept),
        ]);
        last = Some((size, accept));
    }
    table
}
