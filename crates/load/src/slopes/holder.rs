//! Cost and traffic of the control holder by members and upstreams.

use medlarreel_core::ids::Upstream;
use medlarreel_core::machine::REPORT_INTERVAL;

use super::club_simulation::{Cell, Traffic};
use super::fleet::Fleet;
use super::heap_bytes;
use super::table::{Table, slope};

/// Steps until all shards are held: the predecessor's leases, then the orders.
const SETTLE: usize = 24;

/// Steps that are counted.
const STEPS: usize = 5;

/// Steps within which the shards of a lost upstream have moved.
const REPAIR: usize = 12;

/// Ticks of the control thread a second.
const TICKS: f64 = 50.0;

/// Tables of quiet operation and of one lost upstream.
pub fn tables() -> Vec<Table> {
    let columns = [
        "members",
        "upstreams",
        "shards",
        "report us",
        "tick us",
        "slope",
        "core %",
        "state bytes",
        "B/s in",
        "B/s out",
        "B/s per other member",
        "largest frame B",
        "appends/s",
    ];
    let title = "holder::Holder in quiet operation; core % at 50 ticks a second";
    let mut quiet = Table::new(title, &columns);
    let columns = [
        "members",
        "upstreams",
        "shards",
        "shards held",
        "assignments",
        "bytes sent",
        "appends",
        "ms until held",
    ];
    let mut first = Table::new("holder::Holder from its election, first orders", &columns);
    let mut loss = Table::new("holder::Holder after the loss of one upstream", &columns);
    let mut last = None;
    for (members, upstreams, each) in [
        (10, 15, 69),
        (12, 25, 41),
        (16, 16, 40),
        (30, 30, 40),
        (100, 100, 40),
        (30, 30, 200),
    ] {
        let fleet = Fleet {
            members,
            upstreams,
            shards: upstreams as usize * each,
            domains: 3,
        };
        let mut cell = Cell::new(fleet);
        let shards = fleet.shards;
        first.row(until_held(&mut cell, fleet, SETTLE));
        assert_eq!(cell.held(), shards, "all shards are held");
        let steps: Vec<Traffic> = (0..STEPS).map(|_| cell.step()).collect();
        last = add(&mut quiet, fleet, &cell, &steps, last);
        cell.lost = Some(Upstream(0));
        loss.row(until_held(&mut cell, fleet, REPAIR));
    }
    vec![quiet, first, loss]
}

fn add(
    table: &mut Table,
    fleet: Fleet,
    cell: &Cell,
    steps: &[Traffic],
    last: Option<(f64, f64)>,
) -> Option<(f64, f64)> {
    let seconds = STEPS as f64 * REPORT_INTERVAL.as_secs_f64();
    let sum = |part: fn(&Traffic) -> f64| steps.iter().map(part).sum::<f64>();
    let least = |part: fn(&Traffic) -> f64| steps.iter().map(part).fold(f64::INFINITY, f64::min);
    let members = fleet.members as f64;
    let report = least(|step| step.reporting.as_nanos() as f64 / 1e3) / members;
    let tick = least(|step| step.ticking.as_nanos() as f64 / 1e3);
    let reports = members / REPORT_INTERVAL.as_secs_f64();
    let (inward, outward) = (
        sum(|step| step.received as f64) / seconds,
        sum(|step| step.sent as f64) / seconds,
    );
    let size = f64::from(fleet.upstreams);
    let grown = last.filter(|&(before, _)| before < size);
    table.row(vec![
        fleet.members.to_string(),
        fleet.upstreams.to_string(),
        fleet.shards.to_string(),
        format!("{report:.1}"),
        format!("{tick:.0}"),
        slope(grown, size, tick),
        format!("{:.2}", (TICKS * tick + reports * report) / 1e4),
        format!("{:.0}", heap_bytes(&cell.holder)),
        format!("{inward:.0}"),
        format!("{outward:.0}"),
        format!("{:.0}", (inward + outward) / members),
        steps
            .iter()
            .map(|step| step.largest)
            .max()
            .unwrap_or(0)
            .to_string(),
        format!("{:.1}", sum(|step| step.appends as f64) / seconds),
    ]);
    Some((size, tick))
}

/// Steps on; counts the traffic up to the step at which all shards are held.
fn until_held(cell: &mut Cell, fleet: Fleet, steps: usize) -> Vec<String> {
    let mut sum = Traffic::default();
    let mut done = None;
    let (begin, mut least) = (cell.now, fleet.shards);
    for _ in 0..steps {
        let step = cell.step();
        sum.assignments += step.assignments;
        sum.sent += step.sent;
        sum.appends += step.appends;
        let held = cell.held();
        least = least.min(held);
        done = match held {
            held if held < fleet.shards => None,
            _ if least < fleet.shards => done.or(Some(cell.now.since(begin))),
            _ => None,
        };
    }
    vec![
        fleet.members.to_string(),
        fleet.upstreams.to_string(),
        fleet.shards.to_string(),
        cell.held().to_string(),
        sum.assignments.to_string(),
        sum.sent.to_string(),
        sum.appends.to_string(),
        done.map_or("-".to_owned(), |span| span.as_millis().to_string()),
    ]
}
