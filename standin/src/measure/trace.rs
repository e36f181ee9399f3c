//! Input of a replay: a fleet, teams, arrivals and outages.

use std::collections::BTreeMap;

use yuccaridge::name::{EndpointName, TeamName};
use yuccaridge::plan::{EndpointSpec, QueuedJob};
use yuccaridge::team::Team;
use yuccaridge::time::Millis;

/// An endpoint, with properties that the policy is not told.
#[derive(Debug, Clone)]
pub struct TraceEndpoint {
    /// Properties that the policy is told.
    pub spec: EndpointSpec,
    /// Work per unit of time; 1 is the slowest.
    pub speed: f64,
    /// Whether all jobs on it fail.
    pub faulty: bool,
}

/// The submission of a job, with properties that the policy is not told.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Properties that the policy is told, and the time of submission.
    pub job: QueuedJob,
    /// Run time at speed 1.
    pub work: Millis,
    /// Time at which the caller cancels it.
    pub cancel: Option<Millis>,
    /// Whether it fails on all endpoints.
    pub faulty: bool,
}

/// Endpoints that fail together.
#[derive(Debug, Clone)]
pub struct Outage {
    /// Time of the loss.
    pub start: Millis,
    /// Time at which the endpoints are back.
    pub end: Millis,
    /// Endpoints that are lost.
    pub endpoints: Vec<EndpointName>,
}

/// Input of one replay.
#[derive(Debug, Clone)]
pub struct Trace {
    /// All endpoints.
    pub fleet: Vec<TraceEndpoint>,
    /// All teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// Jobs, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Outages.
    pub outages: Vec<Outage>,
    /// Time over which fragmentation is measured.
    pub window: Millis,
    /// Minimum number of accelerators of a large job.
    pub large_job_accelerators: u32,
}

impl Trace {
    /// Lower bounds of the completion times: those of jobs that start at once at the highest speed. Jobs that cannot
    /// complete are left out.
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
