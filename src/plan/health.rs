//! Attribution of failures to the job, the endpoint, or neither.
//!
//! Each failure is recorded for a pair of job and endpoint. The blame of an endpoint is the number of different jobs
//! that failed there, each weighted by how well its family (team and kind) does elsewhere. A job is rejected once it
//! has failed on enough endpoints that are not suspect. Failures around the loss of several endpoints of a rack or
//! domain are discarded.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::{DomainName, EndpointName, JobId, KindName, RackName, TeamName};
use crate::time::Millis;

/// Number of different healthy endpoints on which a job fails before it is rejected.
pub const JOB_FAILURES_MAX: usize = 3;
/// Number of failed attempts after which a job is rejected, for pools with fewer endpoints than [`JOB_FAILURES_MAX`].
const FAILED_ATTEMPTS_MAX: u32 = 8;
/// Weighted number of different failed jobs at which an endpoint is quarantined; see [`Health::blame`].
const ENDPOINT_BLAME_MAX: f64 = 3.0;
/// Failures older than this no longer count against an endpoint.
const FAILURE_WINDOW: Millis = Millis::from_secs(1800);
/// Losses of endpoints of one rack or domain within this time count as one incident.
const INCIDENT_WINDOW: Millis = Millis::from_secs(15);
/// Number of endpoints of one rack or domain whose loss within [`INCIDENT_WINDOW`] makes an incident.
const INCIDENT_ENDPOINTS_MIN: usize = 3;
/// Wait before the first probe; doubles after each failed probe.
const PROBE_WAIT_MIN: Millis = Millis::from_secs(120);
/// Maximum wait before a probe.
const PROBE_WAIT_MAX: Millis = Millis::from_secs(3600);

#[derive(Debug, Clone)]
struct Failure {
    at: Millis,
    job: JobId,
    family: (TeamName, KindName),
}

#[derive(Debug, Default, Clone)]
struct EndpointRecord {
    failures: Vec<Failure>,
    successes: u32,
}

#[derive(Debug, Clone)]
struct Probe {
    due: Millis,
    wait: Millis,
    job: Option<JobId>,
}

/// Location of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Rack.
    pub rack: RackName,
    /// Domain.
    pub domain: DomainName,
}

/// Failures in one pool, with the quarantines and rejections that follow from them.
#[derive(Debug, Default)]
pub struct Health {
    endpoints: BTreeMap<EndpointName, EndpointRecord>,
    jobs: BTreeMap<JobId, (BTreeSet<EndpointName>, u32)>,
    families: BTreeMap<(TeamName, KindName), (BTreeMap<EndpointName, u32>, u32)>,
    losses: Vec<(Millis, Location)>,
    incidents: Vec<(Millis, Location, bool)>,
    probes: BTreeMap<EndpointName, Probe>,
}

impl Health {
    /// Records that a job failed on an endpoint. Returns whether the endpoint should be quarantined.
    pub fn record_failure(
        &mut self,
        now: Millis,
        job: &JobId,
        family: (TeamName, KindName),
        location: &Location,
    ) -> bool {
        if self.in_incident(now, location) {
            return false;
        }
        let known = self.jobs.entry(job.clone()).or_default();
        known.1 += 1;
        known.0.insert(location.endpoint.clone());
        let counts = self.families.entry(family.clone()).or_default();
        *counts.0.entry(location.endpoint.clone()).or_default() += 1;
        let record = self.endpoints.entry(location.endpoint.clone()).or_default();
        record
            .failures
            .retain(|old| now.since(old.at) < FAILURE_WINDOW && old.job != *job);
        record.successes /= 2;
        record.failures.push(Failure {
            at: now,
            job: job.clone(),
            family,
        });
        if let Some(probe) = self.probes.get_mut(&location.endpoint) {
            if probe.job.as_ref() == Some(job) {
                probe.wait = Millis((probe.wait.0 * 2).min(PROBE_WAIT_MAX.0));
            }
            return false;
        }
        self.blame(&location.endpoint) >= ENDPOINT_BLAME_MAX
    }

    /// Weighted number of different jobs that failed on an endpoint recently.
    fn blame(&self, endpoint: &EndpointName) -> f64 {
        let Some(record) = self.endpoints.get(endpoint) else {
            return 0.0;
        };
        let mut blame = 0.0;
        for failure in &record.failures {
            let Some((failed, succeeded)) = self.families.get(&failure.family) else {
                continue;
            };
            // Failures of the family on other endpoints suggest that the fault is in the family, not in this endpoint.
            let elsewhere = failed.keys().filter(|other| *other != endpoint).count();
            let good = f64::from(*succeeded) + 1.0;
            let weight = good / (good + elsewhere as f64);
            let others = self
                .healthy_failures(&failure.job)
                .filter(|other| *other != endpoint)
                .count();
            blame += weight / (1.0 + others as f64);
        }
        blame / (1.0 + 0.5 * f64::from(record.successes))
    }

    /// Whether several different jobs failed on an endpoint and none has completed there since.
    fn is_suspect(&self, endpoint: &EndpointName) -> bool {
        let record = self.endpoints.get(endpoint);
        record.is_some_and(|record| record.successes == 0 && record.failures.len() > 1)
    }

    /// Endpoints on which a job failed and that are not suspect themselves.
    fn healthy_failures(&self, job: &JobId) -> impl Iterator<Item = &EndpointName> {
        let endpoints = self.jobs.get(job).into_iter().flat_map(|(endpoints, _)| endpoints);
        endpoints.filter(|endpoint| !self.is_suspect(endpoint))
    }

    /// Quarantines an endpoint. Failures on it no longer count against jobs.
    pub fn quarantine(&mut self, now: Millis, endpoint: &EndpointName) {
        for (endpoints, _) in self.jobs.values_mut() {
            endpoints.remove(endpoint);
        }
        for (failed, _) in self.families.values_mut() {
            failed.remove(endpoint);
        }
        self.probes.insert(
            endpoint.clone(),
            Probe {
                due: now + PROBE_WAIT_MIN,
                wait: PROBE_WAIT_MIN,
                job: None,
            },
        );
    }

    /// Records that a job completed. Returns the quarantined endpoints that are reinstated, if the job was their probe.
    pub fn record_success(
        &mut self,
        job: &JobId,
        family: &(TeamName, KindName),
        endpoints: &[EndpointName],
    ) -> Vec<EndpointName> {
        self.jobs.remove(job);
        self.families.entry(family.clone()).or_default().1 += 1;
        let mut cleared = Vec::new();
        for endpoint in endpoints {
            if let Some(probe) = self.probes.get(endpoint) {
                // The success of a job that started before the quarantine says nothing about new work.
                if probe.job.as_ref() == Some(job) {
                    self.probes.remove(endpoint);
                    self.endpoints.remove(endpoint);
                    cleared.push(endpoint.clone());
                }
                continue;
            }
            // Successes reduce the blame for older failures, so only an endpoint that fails nearly every job is
            // suspect.
            if let Some(record) = self.endpoints.get_mut(endpoint) {
                record.successes = (record.successes + 1).min(8);
            }
        }
        cleared
    }

    /// Records that an endpoint was lost.
    pub fn record_loss(&mut self, now: Millis, location: &Location) {
        self.losses
            .retain(|(at, old)| now.since(*at) < INCIDENT_WINDOW && old.endpoint != location.endpoint);
        self.losses.push((now, location.clone()));
        let same = |wide: bool| {
            let near = |old: &Location| {
                if wide {
                    old.domain == location.domain
                } else {
                    old.rack == location.rack
                }
            };
            self.losses.iter().filter(|(_, old)| near(old)).count()
        };
        let rack = same(false) >= INCIDENT_ENDPOINTS_MIN;
        let racks = self.losses.iter().filter(|(_, old)| old.domain == location.domain);
        let racks = racks.map(|(_, old)| &old.rack).collect::<BTreeSet<_>>();
        let wide = same(true) >= INCIDENT_ENDPOINTS_MIN && racks.len() > 1;
        if !rack && !wide {
            return;
        }
        self.incidents.retain(|(at, ..)| now.since(*at) < INCIDENT_WINDOW);
        self.incidents.push((now, location.clone(), wide));
        self.discard_recent_failures(now);
    }

    fn in_incident(&self, now: Millis, location: &Location) -> bool {
        for (at, place, wide) in &self.incidents {
            let near = place.rack == location.rack || (*wide && place.domain == location.domain);
            if near && now.since(*at) < INCIDENT_WINDOW {
                return true;
            }
        }
        let lost =
            |(at, old): &(Millis, Location)| old.endpoint == location.endpoint && now.since(*at) < INCIDENT_WINDOW;
        self.losses.iter().any(lost)
    }

    /// Discards recent failures on the endpoints that were lost within [`INCIDENT_WINDOW`].
    fn discard_recent_failures(&mut self, now: Millis) {
        let lost = self.losses.iter().map(|(_, location)| location.endpoint.clone());
        for endpoint in lost.collect::<Vec<_>>() {
            let Some(record) = self.endpoints.get_mut(&endpoint) else {
                continue;
            };
            let recent = |failure: &Failure| now.since(failure.at) < INCIDENT_WINDOW;
            let (drop, keep) = record.failures.drain(..).partition::<Vec<_>, _>(recent);
            record.failures = keep;
            for failure in drop {
                if let Some((endpoints, count)) = self.jobs.get_mut(&failure.job) {
                    endpoints.remove(&endpoint);
                    *count = count.saturating_sub(1);
                }
                if let Some((failed, _)) = self.families.get_mut(&failure.family) {
                    failed.remove(&endpoint);
                }
            }
        }
    }

    /// Why a job should be rejected, if it should.
    pub fn rejection_reason(&self, job: &JobId) -> Option<String> {
        let (_, attempts) = self.jobs.get(job)?;
        let names = self.healthy_failures(job).map(EndpointName::as_str).collect::<Vec<_>>();
        if names.len() >= JOB_FAILURES_MAX {
            return Some(format!(
                "the job failed on {} different endpoints that run other jobs well: {}",
                names.len(),
                names.join(", ")
            ));
        }
        if *attempts >= FAILED_ATTEMPTS_MAX {
            return Some(format!("the job failed {attempts} times"));
        }
        None
    }

    /// Whether a job has failed on an endpoint.
    pub fn failed_on(&self, job: &JobId, endpoint: &EndpointName) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|(endpoints, _)| endpoints.contains(endpoint))
    }

    /// Whether a job has failed anywhere.
    pub fn has_failed(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Discards the failures of a job that has ended.
    pub fn forget_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Quarantined endpoints that are due for a probe.
    pub fn due_probes(&self, now: Millis) -> Vec<EndpointName> {
        let due = self.probes.iter().filter(|(_, probe)| probe.due <= now);
        due.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// When the next probe is due.
    pub fn next_probe(&self) -> Option<Millis> {
        self.probes.values().map(|probe| probe.due).min()
    }

    /// Records that a probe was placed, so that no second one is placed.
    pub fn start_probe(&mut self, now: Millis, endpoint: &EndpointName, job: &JobId) {
        if let Some(probe) = self.probes.get_mut(endpoint) {
            probe.due = now + PROBE_WAIT_MAX;
            probe.job = Some(job.clone());
        }
    }

    /// Records that a job has ended or was not started. If it was a probe, the next probe is due after the current
    /// wait.
    pub fn finish_probe(&mut self, now: Millis, job: &JobId) {
        for probe in self.probes.values_mut() {
            if probe.job.as_ref() == Some(job) {
                probe.job = None;
                probe.due = now + probe.wait;
            }
        }
    }

    /// Number of quarantined endpoints.
    pub fn quarantined_count(&self) -> usize {
        self.probes.len()
    }
}
