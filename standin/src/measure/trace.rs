//! What a replay is fed: a fleet, teams, arrivals and outages.

use std::collections::BTreeMap;

use yuccaridge::name::{EndpointName, TeamName};
use yuccaridge::plan::{EndpointSpec, QueuedJob};
use yuccaridge::team::Team;
use yuccaridge::time::Millis;

/// An endpoint with the properties that a policy has to find out.
#[derive(Debug, Clone)]
pub struct TraceEndpoint {
    /// What the policy is told.
    pub spec: EndpointSpec,
    /// Work done per unit of time; 1 is the slowest.
    pub speed: f64,
    /// Whether it fails everything it starts.
    pub faulty: bool,
}

/// A job with the properties that a policy has to find out.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// What the policy is told, and when.
    pub job: QueuedJob,
    /// Run time at speed 1.
    pub work: Millis,
    /// When its caller cancels it.
    pub cancel: Option<Millis>,
    /// Whether it fails on every endpoint.
    pub faulty: bool,
}

/// Endpoints lost together.
#[derive(Debug, Clone)]
pub struct Outage {
    /// From when.
    pub start: Millis,
    /// Until when.
    pub end: Millis,
    /// Which.
    pub endpoints: Vec<EndpointName>,
}

/// Everything that happens to a policy in one replay.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The fleet.
    pub fleet: Vec<TraceEndpoint>,
    /// The teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// Jobs, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Outages.
    pub outages: Vec<Outage>,
    /// Time over which fragmentation is measured.
    pub window: Millis,
    /// Accelerators from which on a job counts as large.
    pub large_job_accelerators: u32,
}

impl Trace {
    /// Completion times if each job that can complete had the fastest endpoint to itself; no policy is below them.
    pub fn min_completion_times(&self) -> Vec<Millis> {
        let mut fastest = 1.0_f64;
        for trace_endpoint in &self.fleet {
            fastest = fastest.max(trace_endpoint.speed);
        }
        let mut times = Vec::new();
        for arrival in &self.arrivals {
            if arrival.cancel.is_none() && !arrival.faulty {
                times.push(Millis((arrival.work.0 as f64 / fastest) as u64));
            }
        }
        times
    }
}
