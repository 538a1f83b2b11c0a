//! Cost and traffic of one dispatcher by its upstreams and their shards.

use std::time::Duration;

use medlarreel_core::grant::dispatcher::{Action, Dispatcher, RENEWAL_INTERVAL};
use medlarreel_core::grant::{Register, Response};
use medlarreel_core::ids::{Instance, Service, Shard, Upstream};
use medlarreel_core::machine::REPORT_INTERVAL;
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Lease, Message, Report};

use super::sizes::{BIG, assignment, ballot, frame_size, report};
use super::table::{Table, slope};
use super::{heap_bytes, measure};

const START: Time = Time(1_000_000);

const SIZES: [(u32, u16); 11] = [
    (1, 40),
    (2, 40),
    (4, 40),
    (16, 40),
    (64, 40),
    (256, 40),
    (2, 0),
    (2, 69),
    (4, 69),
    (4, 250),
    (4, 1_000),
];

/// Table by upstreams and shards of each.
pub fn tables() -> Vec<Table> {
    let columns = [
        "upstreams",
        "shards each",
        "tick us",
        "slope",
        "answer us",
        "may_send ns",
        "report us",
        "report B",
        "report B/s",
        "grant B/s out",
        "grant B/s in",
        "core %",
        "state bytes",
    ];
    let title = "grant::Dispatcher; every shard has load; grants as JSON bodies every 250 ms";
    let mut table = Table::new(title, &columns);
    let mut last = None;
    for (upstreams, shards) in SIZES {
        let mut dispatcher = serving(upstreams, shards);
        let due = START + RENEWAL_INTERVAL;
        let grants = dispatcher.clone().tick(due);
        let tick = measure(&dispatcher, 1, |dispatcher| dispatcher.tick(due)) / 1e3;
        dispatcher.tick(due);
        let answers: Vec<Response> = grants.iter().map(accept).collect();
        let answered = measure(&dispatcher, answers.len(), |dispatcher| {
            for (key, answer) in (0..).zip(&answers) {
                dispatcher.handle_response(due, Upstream(key), due, answer.clone());
            }
        }) / 1e3;
        let service = Service(3);
        let sends = usize::from(shards.max(1));
        let may_send = measure(&dispatcher, sends, |dispatcher| {
            let shards = (0..shards).map(|index| Some(Shard { service, index }));
            let permits = shards.filter_map(|shard| dispatcher.may_send(due, Upstream(0), shard));
            permits.count()
        });
        let observed = measure(&dispatcher, 1, |dispatcher| {
            dispatcher.take_observations(due)
        }) / 1e3;
        let whole = frame_size(Message::Report(Report {
            upstreams: dispatcher.clone().take_observations(due),
            ..report(0)
        })) as f64;
        let (renewals, reports) = (
            1.0 / RENEWAL_INTERVAL.as_secs_f64(),
            1.0 / REPORT_INTERVAL.as_secs_f64(),
        );
        let out: usize = grants.iter().map(body).sum();
        let back: usize = answers.iter().map(json).sum();
        let answers_cost = answered * f64::from(upstreams);
        // The control thread ticks every 20 ms; a tick with nothing due costs less.
        let busy = (renewals * (tick + answers_cost) + reports * observed) / 1e4;
        let size = f64::from(upstreams);
        let grown = last.filter(|&(before, _)| before < size);
        table.row(vec![
            upstreams.to_string(),
            shards.to_string(),
            format!("{tick:.1}"),
            slope(grown, size, tick),
            format!("{answered:.1}"),
            format!("{may_send:.0}"),
            format!("{observed:.1}"),
            format!("{whole:.0}"),
            format!("{:.0}", whole * reports),
            format!("{:.0}", out as f64 * renewals),
            format!("{:.0}", back as f64 * renewals),
            format!("{busy:.3}"),
            format!("{:.0}", heap_bytes(&dispatcher)),
        ]);
        last = Some((size, tick));
    }
    vec![table]
}

/// Dispatcher whose upstreams have accepted their grants and run requests.
fn serving(upstreams: u32, shards: u16) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Instance(BIG));
    let lease = Lease {
        ballot: ballot(),
        nonce: 1,
        duration: Duration::from_secs(60),
    };
    dispatcher.handle_lease(START, START, lease);
    for key in 0..upstreams {
        let mut assignment = assignment(shards);
        assignment.upstream = Upstream(key);
        dispatcher.handle_assignment(START, assignment);
    }
    let (query, granted) = (dispatcher.tick(START), START);
    for action in &query {
        answer(&mut dispatcher, granted, action);
    }
    let grants = dispatcher.tick(START);
    for action in &grants {
        answer(&mut dispatcher, granted, action);
    }
    for key in 0..upstreams {
        for index in 0..shards {
            let service = Service(3);
            dispatcher.record_served(Upstream(key), Some(Shard { service, index }), 60);
        }
    }
    dispatcher
}

fn answer(dispatcher: &mut Dispatcher, now: Time, action: &Action) {
    let upstream = match action {
        Action::Query(upstream) | Action::Grant(upstream, _) => *upstream,
    };
    dispatcher.handle_response(now, upstream, now, accept(action));
}

/// What an upstream answers that accepts every grant.
fn accept(action: &Action) -> Response {
    let mut register = Register::new(BIG);
    let accepted = match action {
        Action::Query(_) => false,
        Action::Grant(_, request) => register.try_accept(START, request).is_ok(),
    };
    Response {
        incarnation: BIG,
        clock: START,
        accepted,
        version: register.version(),
        shards: register.held_shards(START),
        in_flight: 4,
        slots: 6,
        draining: false,
    }
}

fn body(action: &Action) -> usize {
    match action {
        Action::Query(_) => 0,
        Action::Grant(_, request) => serde_json::to_vec(request).map_or(0, |body| body.len()),
    }
}

fn json(answer: &Response) -> usize {
    serde_json::to_vec(answer).map_or(0, |body| body.len())
}
