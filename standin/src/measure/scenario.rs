//! The traces.
//!
//! The two organisations' traces have a fleet of 50 endpoints; the traces of faults and bursts have 24, so that many
//! seeds run in little time. All arrivals, shapes and run times come from the seed.

use std::collections::BTreeMap;

use clap::ValueEnum;
use rand::Rng;
use yuccaridge::job::{Adjacency, Shape};
use yuccaridge::name::TeamName;
use yuccaridge::team::{Level, Team};
use yuccaridge::time::Millis;

use super::trace::{Outage, Trace};
use super::trace_builder::{Draft, Mix, RACK, fleet, gang, holder, team};

const MINUTE: u64 = 60;
const HOUR: u64 = 3600;

/// A kind of trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Scenario {
    /// Norden's evening: small fillers, large nightly gangs, shops open after 12 hours.
    Norden,
    /// Dakar's day: matching bursts, some steady work, and one pass over the city.
    Dakar,
    /// A burst of small jobs with a few large ones.
    Burst,
    /// A wave of cancellations in a full queue.
    Cancellations,
    /// A rack is lost for an hour.
    RackLost,
    /// Three endpoints fail everything they start, and a few jobs fail everywhere.
    #[value(name = "faulty-workers")]
    FaultyEndpoints,
    /// Declared run times are off by a factor of 10 either way.
    Declarations,
    /// Endpoint speeds differ by a factor of 4 within racks.
    Speeds,
}

impl Scenario {
    /// Name as on the command line.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }

    /// The trace of a seed.
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

fn single(accelerators: u16) -> Shape {
    gang(1, accelerators, Adjacency::Any)
}

fn add(mix: &mut Mix, at: Millis, team: &'static str, kind: &'static str, shape: Shape, work: Millis) {
    let draft = Draft {
        team,
        kind,
        shape,
        work,
        urgent: false,
    };
    mix.add(at, &draft);
}

fn claim(mix: &mut Mix, at: Millis, team: &'static str, shape: Shape, work: Millis) {
    let draft = Draft {
        team,
        kind: "urgent",
        shape,
        work,
        urgent: true,
    };
    mix.add(at, &draft);
}

/// Small jobs of three teams, evenly spread.
fn fillers(mix: &mut Mix, count: usize, to_s: u64, median_s: u64) {
    for _ in 0..count {
        let at = mix.between(0, to_s);
        let shape = mix.choose(&[(5, single(1)), (3, single(2)), (2, single(4))]);
        let (team, kind) = mix.choose(&[
            (4, ("stock", "counts")),
            (3, ("prices", "lists")),
            (3, ("owners", "queries")),
        ]);
        let work = mix.around(median_s);
        add(mix, at, team, kind, shape, work);
    }
}

/// Claims of whole endpoints, quads and parts of racks. Half of them come from a team that has no other work, so that
/// its guarantee is never used up by its own jobs.
fn claims(mix: &mut Mix, count: usize, from_s: u64, to_s: u64) {
    for _ in 0..count {
        let at = mix.between(from_s, to_s);
        let work = mix.around(10 * MINUTE);
        let (team, shape) = mix.choose(&[
            (3, ("alerts", single(8))),
            (1, ("alerts", rack_gang(2))),
            (1, ("photos", rack_gang(4))),
            (1, ("owners", single(8))),
            (1, ("prices", single(4))),
            (1, ("stock", single(8))),
        ]);
        claim(mix, at, team, shape, work);
    }
}

fn norden_teams() -> BTreeMap<TeamName, Team> {
    BTreeMap::from([
        (team("stock"), holder(240, 2, &[(Level::Endpoint, 8, 6)])),
        (team("photos"), holder(320, 2, &[(Level::Rack, 32, 3)])),
        (team("prices"), holder(160, 1, &[(Level::Endpoint, 4, 4)])),
        (team("owners"), holder(160, 1, &[(Level::Endpoint, 8, 4)])),
        (
            team("alerts"),
            holder(80, 1, &[(Level::Endpoint, 8, 4), (Level::Rack, 16, 2)]),
        ),
    ])
}

fn norden(seed: u64) -> Trace {
    let mut mix = Mix::new(seed);
    fillers(&mut mix, 1500, 10 * HOUR, 60 * MINUTE);
    for _ in 0..14 {
        let at = mix.between(HOUR, 6 * HOUR);
        let shape = mix.choose(&[
            (6, rack_gang(4)),
            (6, rack_gang(8)),
            (2, gang(16, 8, Adjacency::Domain)),
        ]);
        let work = mix.around(120 * MINUTE);
        add(&mut mix, at, "photos", "catalogue", shape, work);
    }
    claims(&mut mix, 40, HOUR, 10 * HOUR);
    mix.trace(fleet(50, 130), norden_teams(), 12 * HOUR, 32)
}

fn dakar_teams() -> BTreeMap<TeamName, Team> {
    BTreeMap::from([
        (team("matching"), holder(360, 3, &[(Level::Endpoint, 8, 8)])),
        (team("city"), holder(200, 1, &[(Level::Rack, 32, 2)])),
        (team("shelters"), holder(240, 1, &[(Level::Endpoint, 4, 6)])),
        (team("volunteers"), holder(200, 1, &[(Level::Endpoint, 8, 3)])),
        (
            team("alerts"),
            holder(80, 1, &[(Level::Endpoint, 8, 4), (Level::Rack, 16, 2)]),
        ),
    ])
}

fn dakar(seed: u64) -> Trace {
    let mut mix = Mix::new(seed);
    for _ in 0..150 {
        let at = mix.between(0, 11 * HOUR);
        let shape = mix.choose(&[(2, single(1)), (4, single(2)), (4, single(4))]);
        let (team, kind) = mix.choose(&[(3, ("shelters", "checks")), (2, ("volunteers", "routes"))]);
        let work = mix.around(30 * MINUTE);
        add(&mut mix, at, team, kind, shape, work);
    }
    for _ in 0..12 {
        let start = mix.between(0, 11 * HOUR);
        for _ in 0..mix.rng.random_range(300..700) {
            let at = start + mix.between(0, 5 * MINUTE);
            let shape = mix.choose(&[(7, single(1)), (3, single(2))]);
            let work = mix.around(8 * MINUTE);
            add(&mut mix, at, "matching", "photos", shape, work);
        }
    }
    let at = mix.between(2 * HOUR, 4 * HOUR);
    add(
        &mut mix,
        at,
        "city",
        "pass",
        gang(16, 8, Adjacency::Domain),
        Millis::from_secs(6 * HOUR),
    );
    for _ in 0..40 {
        let at = mix.between(HOUR, 11 * HOUR);
        let work = mix.around(5 * MINUTE);
        let (team, shape) = mix.choose(&[
            (3, ("alerts", single(8))),
            (1, ("alerts", rack_gang(2))),
            (1, ("city", rack_gang(4))),
            (1, ("volunteers", single(8))),
            (1, ("matching", single(8))),
        ]);
        claim(&mut mix, at, team, shape, work);
    }
    mix.trace(fleet(50, 60), dakar_teams(), 12 * HOUR, 32)
}

fn small_teams() -> BTreeMap<TeamName, Team> {
    BTreeMap::from([
        (team("stock"), holder(128, 2, &[(Level::Endpoint, 8, 2)])),
        (team("photos"), holder(160, 2, &[(Level::Rack, 32, 1)])),
        (team("prices"), holder(96, 1, &[(Level::Endpoint, 4, 2)])),
        (team("owners"), holder(96, 1, &[(Level::Endpoint, 8, 1)])),
        (
            team("alerts"),
            holder(48, 1, &[(Level::Endpoint, 8, 2), (Level::Rack, 16, 1)]),
        ),
    ])
}

/// Steady small jobs with some gangs on 24 endpoints over three hours.
fn ordinary(seed: u64) -> Mix {
    let mut mix = Mix::new(seed);
    fillers(&mut mix, 420, 150 * MINUTE, 30 * MINUTE);
    for _ in 0..8 {
        let at = mix.between(15 * MINUTE, 120 * MINUTE);
        let shape = mix.choose(&[(4, rack_gang(2)), (3, rack_gang(4)), (1, rack_gang(8))]);
        let work = mix.around(30 * MINUTE);
        add(&mut mix, at, "photos", "catalogue", shape, work);
    }
    claims(&mut mix, 20, 15 * MINUTE, 150 * MINUTE);
    mix
}

fn small(mix: Mix) -> Trace {
    mix.trace(fleet(3 * RACK, 130), small_teams(), 3 * HOUR, 16)
}

fn burst(seed: u64) -> Trace {
    let mut mix = ordinary(seed);
    let start = mix.between(30 * MINUTE, 60 * MINUTE);
    for _ in 0..300 {
        let at = start + mix.between(0, MINUTE);
        let shape = mix.choose(&[(8, single(1)), (2, single(2))]);
        let work = mix.around(10 * MINUTE);
        add(&mut mix, at, "stock", "burst", shape, work);
    }
    for _ in 0..4 {
        let at = start + mix.between(0, MINUTE);
        let work = mix.around(30 * MINUTE);
        add(&mut mix, at, "photos", "catalogue", rack_gang(4), work);
    }
    small(mix)
}

fn cancellations(seed: u64) -> Trace {
    let mut mix = ordinary(seed);
    let start = mix.between(30 * MINUTE, 60 * MINUTE);
    for _ in 0..300 {
        let at = start + mix.between(0, MINUTE);
        let work = mix.around(20 * MINUTE);
        add(&mut mix, at, "stock", "burst", single(1), work);
    }
    let wave = start + Millis::from_secs(5 * MINUTE);
    let mut trace = small(mix);
    for (i, arrival) in trace.arrivals.iter_mut().enumerate() {
        if arrival.job.accepted_at >= start && arrival.job.accepted_at < wave && i % 5 != 0 {
            arrival.cancel = Some(wave + Millis(i as u64 % 1_000));
        }
    }
    trace
}

fn rack_lost(seed: u64) -> Trace {
    let mut mix = ordinary(seed);
    let start = mix.between(45 * MINUTE, 75 * MINUTE);
    let rack = mix.rng.random_range(0..3);
    let mut trace = small(mix);
    let lost = trace.machines.iter().skip(rack * RACK).take(RACK);
    trace.outages.push(Outage {
        start,
        end: start + Millis::from_secs(HOUR),
        endpoints: lost.map(|machine| machine.spec.name.clone()).collect(),
    });
    trace
}

fn faulty_endpoints(seed: u64) -> Trace {
    let mut mix = ordinary(seed);
    let whole = mix.rng.random_range(0..3);
    let mut trace = small(mix);
    // One rack stays whole, since some gangs need all endpoints of a rack.
    for (rack, endpoint) in [(1, 0), (1, 5), (2, 3)] {
        trace.machines[(whole + rack) % 3 * RACK + endpoint].faulty = true;
    }
    for arrival in trace.arrivals.iter_mut().step_by(97).skip(1) {
        arrival.faulty = !arrival.job.urgent;
    }
    trace
}

fn declarations(seed: u64) -> Trace {
    let mut mix = ordinary(seed);
    let mut factors = BTreeMap::new();
    let mut draws = Vec::new();
    for _ in 0..2_000 {
        draws.push(mix.choose(&[(1, 10.0), (1, 0.1)]));
    }
    let mut trace = small(mix);
    let mut draws = draws.into_iter();
    for (i, arrival) in trace.arrivals.iter_mut().enumerate() {
        let key = (arrival.job.team.clone(), arrival.job.kind.clone());
        let draw: f64 = draws.next().unwrap_or(1.0);
        let usual: f64 = *factors.entry(key).or_insert(draw);
        // Three of ten declarations are off in a direction that the team and kind do not tell.
        let factor = if i % 10 < 3 { draw } else { usual };
        arrival.job.declared = Millis((arrival.job.declared.0 as f64 * factor) as u64);
    }
    trace
}

fn speeds(seed: u64) -> Trace {
    let mut mix = ordinary(seed);
    let mut drawn = Vec::new();
    for _ in 0..3 * RACK {
        drawn.push(4.0_f64.powf(mix.rng.random()));
    }
    let mut trace = small(mix);
    for (machine, speed) in trace.machines.iter_mut().zip(drawn) {
        machine.speed = speed;
    }
    trace
}
