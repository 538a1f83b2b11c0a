//! Cost and traffic of the control holder by the number of members and upstreams.

use medlarreel_core::ids::Upstream;
use medlarreel_core::machine::REPORT_INTERVAL;

use super::club_simulation::{ClubSimulation, Traffic};
use super::fleet::Fleet;
use super::heap_bytes;
use super::table::{Table, slope};

/// Steps until all shards are held: the predecessor's leases run out first, and the
/// holder then assigns the shards.
const SETTLING_STEPS: usize = 24;

/// Steps over which traffic and cost are measured.
const MEASURED_STEPS: usize = 5;

/// Steps within which the shards of an unresponsive upstream are reassigned.
const RECOVERY_STEPS: usize = 12;

/// Tick rate of the control thread.
const TICKS_PER_SECOND: f64 = 50.0;

/// Costs in steady operation, after an election, and after the loss of an upstream.
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
    let title = "holder::Holder in steady operation; core % at 50 ticks a second";
    let mut steady = Table::new(title, &columns);
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
    let mut after_election = Table::new(
        "holder::Holder from its election, first assignments",
        &columns,
    );
    let mut after_loss = Table::new("holder::Holder after the loss of one upstream", &columns);
    let mut previous = None;
    for (members, upstreams, shards_per_upstream) in [
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
            shards: upstreams as usize * shards_per_upstream,
            domains: 3,
        };
        let mut simulation = ClubSimulation::new(fleet);
        let shards = fleet.shards;
        after_election.add_row(run_steps(&mut simulation, fleet, SETTLING_STEPS));
        assert_eq!(simulation.held_shard_count(), shards, "all shards are held");
        let steps: Vec<Traffic> = (0..MEASURED_STEPS).map(|_| simulation.step()).collect();
        previous = add_row(&mut steady, fleet, &simulation, &steps, previous);
        simulation.unresponsive_upstream = Some(Upstream(0));
        after_loss.add_row(run_steps(&mut simulation, fleet, RECOVERY_STEPS));
    }
    vec![steady, after_election, after_loss]
}

fn add_row(
    table: &mut Table,
    fleet: Fleet,
    simulation: &ClubSimulation,
    steps: &[Traffic],
    previous: Option<(f64, f64)>,
) -> Option<(f64, f64)> {
    let seconds = MEASURED_STEPS as f64 * REPORT_INTERVAL.as_secs_f64();
    let total = |value: fn(&Traffic) -> f64| steps.iter().map(value).sum::<f64>();
    let minimum =
        |value: fn(&Traffic) -> f64| steps.iter().map(value).fold(f64::INFINITY, f64::min);
    let members = fleet.members as f64;
    let report_us = minimum(|step| step.report_time.as_nanos() as f64 / 1e3) / members;
    let tick_us = minimum(|step| step.tick_time.as_nanos() as f64 / 1e3);
    let reports_per_second = members / REPORT_INTERVAL.as_secs_f64();
    let (received_per_second, sent_per_second) = (
        total(|step| step.received_bytes as f64) / seconds,
        total(|step| step.sent_bytes as f64) / seconds,
    );
    let size = f64::from(fleet.upstreams);
    let comparable = previous.filter(|&(previous_size, _)| previous_size < size);
    table.add_row(vec![
        fleet.members.to_string(),
        fleet.upstreams.to_string(),
        fleet.shards.to_string(),
        format!("{report_us:.1}"),
        format!("{tick_us:.0}"),
        slope(comparable, size, tick_us),
        format!(
            "{:.2}",
            (TICKS_PER_SECOND * tick_us + reports_per_second * report_us) / 1e4
        ),
        format!("{:.0}", heap_bytes(&simulation.holder)),
        format!("{received_per_second:.0}"),
        format!("{sent_per_second:.0}"),
        format!("{:.0}", (received_per_second + sent_per_second) / members),
        steps
            .iter()
            .map(|step| step.largest_frame_bytes)
            .max()
            .unwrap_or(0)
            .to_string(),
        format!("{:.1}", total(|step| step.appends as f64) / seconds),
    ]);
    Some((size, tick_us))
}

/// Runs the steps and returns a row with their total traffic and the time until all
/// shards are held. The time is `-` if all shards were held throughout, or if not all
/// are held at the end.
fn run_steps(simulation: &mut ClubSimulation, fleet: Fleet, steps: usize) -> Vec<String> {
    let mut total = Traffic::default();
    let mut settling_time = None;
    let (start, mut fewest_held) = (simulation.now, fleet.shards);
    for _ in 0..steps {
        let step = simulation.step();
        total.assignments += step.assignments;
        total.sent_bytes += step.sent_bytes;
        total.appends += step.appends;
        let held = simulation.held_shard_count();
        fewest_held = fewest_held.min(held);
        settling_time = match held {
            held if held < fleet.shards => None,
            _ if fewest_held < fleet.shards => settling_time.or(Some(simulation.now.since(start))),
            _ => None,
        };
    }
    vec![
        fleet.members.to_string(),
        fleet.upstreams.to_string(),
        fleet.shards.to_string(),
        simulation.held_shard_count().to_string(),
        total.assignments.to_string(),
        total.sent_bytes.to_string(),
        total.appends.to_string(),
        settling_time.map_or("-".to_owned(), |duration| duration.as_millis().to_string()),
    ]
}
