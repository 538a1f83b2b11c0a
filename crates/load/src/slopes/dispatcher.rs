//! Cost and traffic of one dispatcher by the number of its upstreams and their shards.

use std::time::Duration;

use medlarreel_core::grant::dispatcher::{Action, Dispatcher, RENEWAL_INTERVAL};
use medlarreel_core::grant::{Register, Response};
use medlarreel_core::ids::{Instance, Service, Shard, Upstream};
use medlarreel_core::machine::REPORT_INTERVAL;
use medlarreel_core::time::Time;
use medlarreel_core::wire::{Lease, Message, Report};

use super::sizes::{LARGE_VALUE, assignment, ballot, frame_size, report};
use super::table::{Table, slope};
use super::{heap_bytes, measure};

const START: Time = Time(1_000_000);

/// Numbers of upstreams, and of shards of each. A row with more upstreams than the row
/// before shows a slope, so both need the same number of shards.
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

/// Costs by the number of upstreams and of shards of each.
pub fn tables() -> Vec<Table> {
    let columns = [
        "upstreams",
        "shards each",
        "tick us",
        "slope",
        "response us",
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
    let mut previous = None;
    for (upstreams, shards) in SIZES {
        let mut dispatcher = serving_dispatcher(upstreams, shards);
        let due = START + RENEWAL_INTERVAL;
        let grants = dispatcher.clone().tick(due);
        let tick_us = measure(&dispatcher, 1, |dispatcher| dispatcher.tick(due)) / 1e3;
        dispatcher.tick(due);
        let responses: Vec<Response> = grants.iter().map(accepting_response).collect();
        let response_us = measure(&dispatcher, responses.len(), |dispatcher| {
            for (key, response) in (0..).zip(&responses) {
                dispatcher.handle_response(due, Upstream(key), due, response.clone());
            }
        }) / 1e3;
        let service = Service(3);
        let checks = usize::from(shards.max(1));
        let may_send_ns = measure(&dispatcher, checks, |dispatcher| {
            let shards = (0..shards).map(|index| Some(Shard { service, index }));
            let permits = shards.filter_map(|shard| dispatcher.may_send(due, Upstream(0), shard));
            permits.count()
        });
        let report_us = measure(&dispatcher, 1, |dispatcher| {
            dispatcher.take_observations(due)
        }) / 1e3;
        let report_bytes = frame_size(Message::Report(Report {
            upstreams: dispatcher.clone().take_observations(due),
            ..report(0)
        })) as f64;
        let (renewals_per_second, reports_per_second) = (
            1.0 / RENEWAL_INTERVAL.as_secs_f64(),
            1.0 / REPORT_INTERVAL.as_secs_f64(),
        );
        let grant_bytes: usize = grants.iter().map(request_json_bytes).sum();
        let response_bytes: usize = responses.iter().map(response_json_bytes).sum();
        let responses_us = response_us * f64::from(upstreams);
        // Counts only ticks with renewals due. The control thread ticks every 20 ms,
        // but a tick with nothing due costs less.
        let core_percent =
            (renewals_per_second * (tick_us + responses_us) + reports_per_second * report_us) / 1e4;
        let size = f64::from(upstreams);
        let comparable = previous.filter(|&(previous_size, _)| previous_size < size);
        table.add_row(vec![
            upstreams.to_string(),
            shards.to_string(),
            format!("{tick_us:.1}"),
            slope(comparable, size, tick_us),
            format!("{response_us:.1}"),
            format!("{may_send_ns:.0}"),
            format!("{report_us:.1}"),
            format!("{report_bytes:.0}"),
            format!("{:.0}", report_bytes * reports_per_second),
            format!("{:.0}", grant_bytes as f64 * renewals_per_second),
            format!("{:.0}", response_bytes as f64 * renewals_per_second),
            format!("{core_percent:.3}"),
            format!("{:.0}", heap_bytes(&dispatcher)),
        ]);
        previous = Some((size, tick_us));
    }
    vec![table]
}

/// Dispatcher whose upstreams have accepted their grants and served requests.
fn serving_dispatcher(upstreams: u32, shards: u16) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Instance(LARGE_VALUE));
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
    let (queries, now) = (dispatcher.tick(START), START);
    for action in &queries {
        deliver_response(&mut dispatcher, now, action);
    }
    let grants = dispatcher.tick(START);
    for action in &grants {
        deliver_response(&mut dispatcher, now, action);
    }
    for key in 0..upstreams {
        for index in 0..shards {
            let service = Service(3);
            dispatcher.record_served(Upstream(key), Some(Shard { service, index }), 60);
        }
    }
    dispatcher
}

fn deliver_response(dispatcher: &mut Dispatcher, now: Time, action: &Action) {
    let upstream = match action {
        Action::Query(upstream) | Action::Grant(upstream, _) => *upstream,
    };
    dispatcher.handle_response(now, upstream, now, accepting_response(action));
}

/// Response of an upstream that accepts every grant.
fn accepting_response(action: &Action) -> Response {
    let mut register = Register::new(LARGE_VALUE);
    let accepted = match action {
        Action::Query(_) => false,
        Action::Grant(_, request) => register.try_accept(START, request).is_ok(),
    };
    Response {
        incarnation: LARGE_VALUE,
        clock: START,
        accepted,
        version: register.version(),
        shards: register.held_shards(START),
        in_flight: 4,
        slots: 6,
        draining: false,
    }
}

fn request_json_bytes(action: &Action) -> usize {
    match action {
        Action::Query(_) => 0,
        Action::Grant(_, request) => serde_json::to_vec(request).map_or(0, |body| body.len()),
    }
}

fn response_json_bytes(response: &Response) -> usize {
    serde_json::to_vec(response).map_or(0, |body| body.len())
}
