//! Building blocks of traces: fleets, teams and random jobs.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::job::{Adjacency, Shape};
use yuccaridge::name::{DomainName, EndpointName, JobId, KindName, PoolName, RackName, TeamName};
use yuccaridge::plan::{EndpointSpec, QueuedJob};
use yuccaridge::team::{Guarantee, Level, Team};
use yuccaridge::time::Millis;

use super::trace::{Arrival, Trace, TraceEndpoint};

/// Endpoints in each rack.
pub const RACK_ENDPOINTS: usize = 8;
/// Racks in each failure domain.
const DOMAIN_RACKS: usize = 2;
/// Accelerators of each endpoint.
const ENDPOINT_ACCELERATORS: u16 = 8;
/// Cores that a job requests for each accelerator.
const CORES_PER_ACCELERATOR: u32 = 4;
/// Memory that a job requests for each accelerator, in megabytes.
const MEMORY_MB_PER_ACCELERATOR: u64 = 16_384;
/// Speeds of the racks, in turn; all endpoints of a rack are of one hardware generation.
const RACK_SPEEDS: [f64; 7] = [1.0, 2.0, 1.5, 4.0, 2.5, 3.0, 1.0];

/// Name of the pool of all traces.
pub fn pool() -> PoolName {
    PoolName::new("main").expect("a valid name")
}

/// Creates a team name.
pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a valid name")
}

/// Creates endpoints with this many cores, in racks of different speeds.
pub fn fleet(endpoints: usize, cores: u32) -> Vec<TraceEndpoint> {
    let mut fleet = Vec::new();
    for i in 0..endpoints {
        let rack = i / RACK_ENDPOINTS;
        let spec = EndpointSpec {
            name: EndpointName::new(format!("w{i:02}")).expect("a valid name"),
            rack: RackName::new(format!("r{rack}")).expect("a valid name"),
            domain: DomainName::new(format!("d{}", rack / DOMAIN_RACKS)).expect("a valid name"),
            cores,
            memory_mb: 262_144,
            accelerators: ENDPOINT_ACCELERATORS,
            slots: 8,
        };
        fleet.push(TraceEndpoint {
            spec,
            speed: RACK_SPEEDS[rack % RACK_SPEEDS.len()],
            faulty: false,
        });
    }
    fleet
}

/// Creates a team with guarantees of (level, accelerators in a set, number of sets).
pub fn team_with_guarantees(quota: u32, weight: u16, guaranteed_sets: &[(Level, u16, u16)]) -> Team {
    let mut guarantees = Vec::new();
    for &(level, accelerators, count) in guaranteed_sets {
        guarantees.push(Guarantee {
            pool: pool(),
            level,
            accelerators,
            count,
        });
    }
    Team {
        guarantees,
        quota,
        weight,
        kinds: BTreeSet::from([kind("batch")]),
    }
}

fn kind(name: &str) -> KindName {
    KindName::new(name).expect("a valid name")
}

/// Shape of a gang of `members` members with `accelerators` accelerators each.
pub fn gang(members: u16, accelerators: u16, adjacent: Adjacency) -> Shape {
    Shape {
        members,
        cores: CORES_PER_ACCELERATOR * u32::from(accelerators),
        memory_mb: MEMORY_MB_PER_ACCELERATOR * u64::from(accelerators),
        accelerators,
        adjacent,
    }
}

/// Properties of a job to add; the rest is random.
#[derive(Debug, Clone)]
pub struct JobTemplate {
    /// Team.
    pub team: &'static str,
    /// Kind.
    pub kind: &'static str,
    /// Shape.
    pub shape: Shape,
    /// Run time at speed 1.
    pub work: Millis,
    /// Whether the job claims its team's guarantee.
    pub urgent: bool,
}

/// Collects the jobs of a trace.
#[derive(Debug)]
pub struct TraceBuilder {
    /// Generator of all random values of the trace.
    pub rng: SmallRng,
    arrivals: Vec<Arrival>,
}

impl TraceBuilder {
    /// Creates a builder without jobs.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            arrivals: Vec::new(),
        }
    }

    /// Uniformly distributed time between two bounds in seconds.
    pub fn random_time(&mut self, start_s: u64, end_s: u64) -> Millis {
        Millis(self.rng.random_range(start_s * 1000..end_s * 1000))
    }

    /// Log-normally distributed run time, at most 12 times the median.
    pub fn random_run_time(&mut self, median_run_time_s: u64) -> Millis {
        let u: f64 = 1.0 - self.rng.random::<f64>();
        let v: f64 = self.rng.random();
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let factor = (0.8 * normal).exp().clamp(0.1, 12.0);
        Millis((median_run_time_s as f64 * 1000.0 * factor) as u64)
    }

    /// Chooses a value at random by weight.
    pub fn choose_weighted<T>(&mut self, choices: &[(u32, T)]) -> T
    where
        T: Clone,
    {
        let total: u32 = choices.iter().map(|(weight, _)| weight).sum();
        let mut rest = self.rng.random_range(0..total);
        for (weight, choice) in choices {
            if rest < *weight {
                return choice.clone();
            }
            rest -= weight;
        }
        choices[0].1.clone()
    }

    /// Adds a job. Most jobs can write checkpoints, all are idempotent, and the declared run time differs from the real
    /// one by up to 30%.
    pub fn add_job(&mut self, at: Millis, template: &JobTemplate) {
        let declared = template.work.0 as f64 * self.rng.random_range(0.7..1.3);
        let checkpoints = template.shape.total_accelerators() >= 8 || self.rng.random_bool(0.7);
        let job = QueuedJob {
            id: JobId::new(format!("j{:05}", self.arrivals.len())).expect("a valid name"),
            team: team(template.team),
            kind: kind(template.kind),
            shape: template.shape,
            declared: Millis(declared as u64),
            checkpoints,
            idempotent: true,
            urgent: template.urgent,
            attempt: 0,
            accepted_at: at,
        };
        self.arrivals.push(Arrival {
            job,
            work: template.work,
            cancel: None,
            faulty: false,
        });
    }

    /// Builds the trace, without outages.
    pub fn build(
        mut self,
        fleet: Vec<TraceEndpoint>,
        teams: BTreeMap<TeamName, Team>,
        window_s: u64,
        large_job_accelerators: u32,
    ) -> Trace {
        self.arrivals.sort_by_key(|arrival| arrival.job.accepted_at);
        Trace {
            fleet,
            teams,
            arrivals: self.arrivals,
            outages: Vec::new(),
            window: Millis::from_secs(window_s),
            large_job_accelerators,
        }
    }
}
