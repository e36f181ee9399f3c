//! Scenarios and their traces.
//!
//! The traces of the two organisations have a fleet of 50 endpoints. The traces of faults and bursts have 24, so that
//! many seeds can be replayed in a short time. All arrivals, shapes and run times are determined by the seed.

use std::collections::BTreeMap;

use clap::ValueEnum;
use rand::Rng;
use yuccaridge::job::{Adjacency, Shape};
use yuccaridge::name::TeamName;
use yuccaridge::team::{Level, Team};
use yuccaridge::time::Millis;

use super::trace::{Outage, Trace};
use super::trace_builder::{JobTemplate, RACK_ENDPOINTS, TraceBuilder, fleet, gang, team, team_with_guarantees};

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 3600;

/// A scenario to replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Scenario {
    /// Evening and night at Kickerdelar Norden, 12 hours until the shops open: many small jobs and large gangs.
    Norden,
    /// Day at Dakar Paws Alert: bursts of matching jobs, some steady load and one large job over the city's data.
    Dakar,
    /// A burst of small jobs with a few large ones.
    Burst,
    /// Many cancellations at once in a full queue.
    Cancellations,
    /// One rack fails for an hour.
    RackLost,
    /// All jobs fail on three endpoints, and a few jobs fail on all endpoints.
    #[value(name = "faulty-workers")]
    FaultyEndpoints,
    /// Declared run times are too long or too short by a factor of 10.
    Declarations,
    /// Endpoint speeds differ by a factor of up to 4 within racks.
    Speeds,
}

impl Scenario {
    /// Name on the command line and in the results.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }

    /// Generates the trace for a seed.
    pub fn trace(self, seed: u64) -> Trace {
        match self {
            Self::Norden => norden(seed),
            Self::Dakar => dakar(seed),
            Self::Burst => burst(seed),
            Self::Cancellations => cancellations(seed),
            Self::RackLost => rack_lost(seed),
            Self::FaultyEndpoints => faulty_endpoints(seed),
            Self::Declarations => declarations(seed),
            Self::Speeds => speeds(seed),
        }
    }
}

fn rack_gang(members: u16) -> Shape {
    gang(members, 8, Adjacency::Rack)
}

fn single_member(accelerators: u16) -> Shape {
    gang(1, accelerators, Adjacency::Any)
}

fn add_job(builder: &mut TraceBuilder, at: Millis, team: &'static str, kind: &'static str, shape: Shape, work: Millis) {
    let template = JobTemplate {
        team,
        kind,
        shape,
        work,
        urgent: false,
    };
    builder.add_job(at, &template);
}

fn add_claim(builder: &mut TraceBuilder, at: Millis, team: &'static str, shape: Shape, work: Millis) {
    let template = JobTemplate {
        team,
        kind: "urgent",
        shape,
        work,
        urgent: true,
    };
    builder.add_job(at, &template);
}

/// Adds small jobs of three teams at uniformly distributed times.
fn add_fillers(builder: &mut TraceBuilder, count: usize, end_s: u64, median_run_time_s: u64) {
    for _ in 0..count {
        let at = builder.random_time(0, end_s);
        let shape = builder.choose_weighted(&[(5, single_member(1)), (3, single_member(2)), (2, single_member(4))]);
        let (team, kind) = builder.choose_weighted(&[
            (4, ("stock", "counts")),
            (3, ("prices", "lists")),
            (3, ("owners", "queries")),
        ]);
        let work = builder.random_run_time(median_run_time_s);
        add_job(builder, at, team, kind, shape, work);
    }
}

/// Adds claims of whole endpoints, of four accelerators and of parts of racks. Half of them are from a team without
/// other jobs, so that jobs that are not claims never use up its guarantee.
fn add_claims(builder: &mut TraceBuilder, count: usize, start_s: u64, end_s: u64) {
    for _ in 0..count {
        let at = builder.random_time(start_s, end_s);
        let work = builder.random_run_time(10 * MINUTE_S);
        let (team, shape) = builder.choose_weighted(&[
            (3, ("alerts", single_member(8))),
            (1, ("alerts", rack_gang(2))),
            (1, ("photos", rack_gang(4))),
            (1, ("owners", single_member(8))),
            (1, ("prices", single_member(4))),
            (1, ("stock", single_member(8))),
        ]);
        add_claim(builder, at, team, shape, work);
    }
}

fn norden_teams() -> BTreeMap<TeamName, Team> {
    BTreeMap::from([
        (team("stock"), team_with_guarantees(240, 2, &[(Level::Endpoint, 8, 6)])),
        (team("photos"), team_with_guarantees(320, 2, &[(Level::Rack, 32, 3)])),
        (team("prices"), team_with_guarantees(160, 1, &[(Level::Endpoint, 4, 4)])),
        (team("owners"), team_with_guarantees(160, 1, &[(Level::Endpoint, 8, 4)])),
        (
            team("alerts"),
            team_with_guarantees(80, 1, &[(Level::Endpoint, 8, 4), (Level::Rack, 16, 2)]),
        ),
    ])
}

fn norden(seed: u64) -> Trace {
    let mut builder = TraceBuilder::new(seed);
    add_fillers(&mut builder, 1500, 10 * HOUR_S, 60 * MINUTE_S);
    for _ in 0..14 {
        let at = builder.random_time(HOUR_S, 6 * HOUR_S);
        let shape = builder.choose_weighted(&[
            (6, rack_gang(4)),
            (6, rack_gang(8)),
            (2, gang(16, 8, Adjacency::Domain)),
        ]);
        let work = builder.random_run_time(120 * MINUTE_S);
        add_job(&mut builder, at, "photos", "catalogue", shape, work);
    }
    add_claims(&mut builder, 40, HOUR_S, 10 * HOUR_S);
    builder.build(fleet(50, 130), norden_teams(), 12 * HOUR_S, 32)
}

fn dakar_teams() -> BTreeMap<TeamName, Team> {
    BTreeMap::from([
        (
            team("matching"),
            team_with_guarantees(360, 3, &[(Level::Endpoint, 8, 8)]),
        ),
        (team("city"), team_with_guarantees(200, 1, &[(Level::Rack, 32, 2)])),
        (
            team("shelters"),
            team_with_guarantees(240, 1, &[(Level::Endpoint, 4, 6)]),
        ),
        (
            team("volunteers"),
            team_with_guarantees(200, 1, &[(Level::Endpoint, 8, 3)]),
        ),
        (
            team("alerts"),
            team_with_guarantees(80, 1, &[(Level::Endpoint, 8, 4), (Level::Rack, 16, 2)]),
        ),
    ])
}

fn dakar(seed: u64) -> Trace {
    let mut builder = TraceBuilder::new(seed);
    for _ in 0..150 {
        let at = builder.random_time(0, 11 * HOUR_S);
        let shape = builder.choose_weighted(&[(2, single_member(1)), (4, single_member(2)), (4, single_member(4))]);
        let (team, kind) = builder.choose_weighted(&[(3, ("shelters", "checks")), (2, ("volunteers", "routes"))]);
        let work = builder.random_run_time(30 * MINUTE_S);
        add_job(&mut builder, at, team, kind, shape, work);
    }
    for _ in 0..12 {
        let start = builder.random_time(0, 11 * HOUR_S);
        for _ in 0..builder.rng.random_range(300..700) {
            let at = start + builder.random_time(0, 5 * MINUTE_S);
            let shape = builder.choose_weighted(&[(7, single_member(1)), (3, single_member(2))]);
            let work = builder.random_run_time(8 * MINUTE_S);
            add_job(&mut builder, at, "matching", "photos", shape, work);
        }
    }
    let at = builder.random_time(2 * HOUR_S, 4 * HOUR_S);
    add_job(
        &mut builder,
        at,
        "city",
        "pass",
        gang(16, 8, Adjacency::Domain),
        Millis::from_secs(6 * HOUR_S),
    );
    for _ in 0..40 {
        let at = builder.random_time(HOUR_S, 11 * HOUR_S);
        let work = builder.random_run_time(5 * MINUTE_S);
        let (team, shape) = builder.choose_weighted(&[
            (3, ("alerts", single_member(8))),
            (1, ("alerts", rack_gang(2))),
            (1, ("city", rack_gang(4))),
            (1, ("volunteers", single_member(8))),
            (1, ("matching", single_member(8))),
        ]);
        add_claim(&mut builder, at, team, shape, work);
    }
    builder.build(fleet(50, 60), dakar_teams(), 12 * HOUR_S, 32)
}

fn small_teams() -> BTreeMap<TeamName, Team> {
    BTreeMap::from([
        (team("stock"), team_with_guarantees(128, 2, &[(Level::Endpoint, 8, 2)])),
        (team("photos"), team_with_guarantees(160, 2, &[(Level::Rack, 32, 1)])),
        (team("prices"), team_with_guarantees(96, 1, &[(Level::Endpoint, 4, 2)])),
        (team("owners"), team_with_guarantees(96, 1, &[(Level::Endpoint, 8, 1)])),
        (
            team("alerts"),
            team_with_guarantees(48, 1, &[(Level::Endpoint, 8, 2), (Level::Rack, 16, 1)]),
        ),
    ])
}

/// Load of the scenarios with 24 endpoints: small jobs, some gangs and claims, over three hours.
fn background_load(seed: u64) -> TraceBuilder {
    let mut builder = TraceBuilder::new(seed);
    add_fillers(&mut builder, 420, 150 * MINUTE_S, 30 * MINUTE_S);
    for _ in 0..8 {
        let at = builder.random_time(15 * MINUTE_S, 120 * MINUTE_S);
        let shape = builder.choose_weighted(&[(4, rack_gang(2)), (3, rack_gang(4)), (1, rack_gang(8))]);
        let work = builder.random_run_time(30 * MINUTE_S);
        add_job(&mut builder, at, "photos", "catalogue", shape, work);
    }
    add_claims(&mut builder, 20, 15 * MINUTE_S, 150 * MINUTE_S);
    builder
}

fn build_small(builder: TraceBuilder) -> Trace {
    builder.build(fleet(3 * RACK_ENDPOINTS, 130), small_teams(), 3 * HOUR_S, 16)
}

fn burst(seed: u64) -> Trace {
    let mut builder = background_load(seed);
    let start = builder.random_time(30 * MINUTE_S, 60 * MINUTE_S);
    for _ in 0..300 {
        let at = start + builder.random_time(0, MINUTE_S);
        let shape = builder.choose_weighted(&[(8, single_member(1)), (2, single_member(2))]);
        let work = builder.random_run_time(10 * MINUTE_S);
        add_job(&mut builder, at, "stock", "burst", shape, work);
    }
    for _ in 0..4 {
        let at = start + builder.random_time(0, MINUTE_S);
        let work = builder.random_run_time(30 * MINUTE_S);
        add_job(&mut builder, at, "photos", "catalogue", rack_gang(4), work);
    }
    build_small(builder)
}

fn cancellations(seed: u64) -> Trace {
    let mut builder = background_load(seed);
    let start = builder.random_time(30 * MINUTE_S, 60 * MINUTE_S);
    for _ in 0..300 {
        let at = start + builder.random_time(0, MINUTE_S);
        let work = builder.random_run_time(20 * MINUTE_S);
        add_job(&mut builder, at, "stock", "burst", single_member(1), work);
    }
    let cancel_start = start + Millis::from_secs(5 * MINUTE_S);
    let mut trace = build_small(builder);
    for (i, arrival) in trace.arrivals.iter_mut().enumerate() {
        if arrival.job.accepted_at >= start && arrival.job.accepted_at < cancel_start && i % 5 != 0 {
            arrival.cancel = Some(cancel_start + Millis(i as u64 % 1_000));
        }
    }
    trace
}

fn rack_lost(seed: u64) -> Trace {
    let mut builder = background_load(seed);
    let start = builder.random_time(45 * MINUTE_S, 75 * MINUTE_S);
    let rack = builder.rng.random_range(0..3);
    let mut trace = build_small(builder);
    let lost = trace.fleet.iter().skip(rack * RACK_ENDPOINTS).take(RACK_ENDPOINTS);
    trace.outages.push(Outage {
        start,
        end: start + Millis::from_secs(HOUR_S),
        endpoints: lost.map(|trace_endpoint| trace_endpoint.spec.name.clone()).collect(),
    });
    trace
}

fn faulty_endpoints(seed: u64) -> Trace {
    let mut builder = background_load(seed);
    let healthy_rack = builder.rng.random_range(0..3);
    let mut trace = build_small(builder);
    // One rack has no faulty endpoint, since some gangs need all endpoints of a rack.
    for (rack, endpoint) in [(1, 0), (1, 5), (2, 3)] {
        trace.fleet[(healthy_rack + rack) % 3 * RACK_ENDPOINTS + endpoint].faulty = true;
    }
    for arrival in trace.arrivals.iter_mut().step_by(97).skip(1) {
        arrival.faulty = !arrival.job.urgent;
    }
    trace
}

fn declarations(seed: u64) -> Trace {
    let mut builder = background_load(seed);
    let mut factors = BTreeMap::new();
    let mut draws = Vec::new();
    for _ in 0..2_000 {
        draws.push(builder.choose_weighted(&[(1, 10.0), (1, 0.1)]));
    }
    let mut trace = build_small(builder);
    let mut draws = draws.into_iter();
    for (i, arrival) in trace.arrivals.iter_mut().enumerate() {
        let key = (arrival.job.team.clone(), arrival.job.kind.clone());
        let draw: f64 = draws.next().unwrap_or(1.0);
        let group_factor: f64 = *factors.entry(key).or_insert(draw);
        // In three of ten jobs the error is random and cannot be predicted from team and kind.
        let factor = if i % 10 < 3 { draw } else { group_factor };
        arrival.job.declared = Millis((arrival.job.declared.0 as f64 * factor) as u64);
    }
    trace
}

fn speeds(seed: u64) -> Trace {
    let mut builder = background_load(seed);
    let mut drawn = Vec::new();
    for _ in 0..3 * RACK_ENDPOINTS {
        drawn.push(4.0_f64.powf(builder.rng.random()));
    }
    let mut trace = build_small(builder);
    for (trace_endpoint, speed) in trace.fleet.iter_mut().zip(drawn) {
        trace_endpoint.speed = speed;
    }
    trace
}
