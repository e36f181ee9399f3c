//! Estimates of run times and endpoint speeds, learned from completed jobs.
//!
//! The logarithm of a run time is modelled as the logarithm of the declared run time, plus a correction for the team
//! and kind, minus the logarithm of the endpoint's speed. Each completed job moves the correction and the speed by part
//! of the error. Declarations that are wrong by a factor of 10 are thus corrected after a few jobs, and a single
//! outlier has little effect. An endpoint with few observations is assumed to be as fast as its rack, since the
//! endpoints of a rack are often bought together.

use std::collections::BTreeMap;

use crate::name::{EndpointName, KindName, RackName, TeamName};
use crate::time::Millis;

/// Run time assumed for a job that declares none, as long as nothing is known about its kind.
const DEFAULT_RUN_TIME: Millis = Millis::from_secs(3600);
/// Corrections are clamped to this factor, which leaves a margin over declarations that are wrong by a factor of 10.
const CORRECTION_FACTOR_MAX: f64 = 20.0;
/// Speeds differ by a factor of 4; estimates are clamped to this factor of the mean.
const SPEED_FACTOR_MAX: f64 = 4.0;
/// Minimum part of the error by which a correction moves; the first jobs move it by more.
const LEARNING_RATE_MIN: f64 = 0.1;
/// Weight of the prior, in observations: of the rack's speed for an endpoint and of the fleet's mean speed for a rack.
const PRIOR_WEIGHT: f64 = 2.0;
/// Number of observations after which older ones lose weight, so that a change in an endpoint's speed is noticed.
const OBSERVATIONS_MAX: f64 = 20.0;
/// Mean absolute error of the logarithm of a run time, assumed before any is observed.
const DEFAULT_SPREAD: f64 = 0.7;

/// Correction of declared run times, for a kind or a kind of one team.
#[derive(Debug, Default, Clone, Copy)]
struct Correction {
    log: f64,
    spread: f64,
    count: u32,
}

impl Correction {
    fn learn(&mut self, error: f64) {
        self.count += 1;
        let step = (1.0 / f64::from(self.count)).max(LEARNING_RATE_MIN);
        self.spread += step * (error.abs() - self.spread);
        let limit = CORRECTION_FACTOR_MAX.ln();
        self.log = (self.log + step * error).clamp(-limit, limit);
    }
}

/// Mean of observed logarithms of speed.
#[derive(Debug, Default, Clone, Copy)]
struct Speed {
    log: f64,
    count: f64,
}

impl Speed {
    fn learn(&mut self, seen: f64) {
        self.count = (self.count + 1.0).min(OBSERVATIONS_MAX);
        self.log += (seen - self.log) / self.count;
    }

    /// The mean, shrunk towards `expected` while there are few observations.
    fn shrunk_towards(self, expected: f64) -> f64 {
        (self.log * self.count + expected * PRIOR_WEIGHT) / (self.count + PRIOR_WEIGHT)
    }
}

/// Estimates of one pool.
#[derive(Debug, Default)]
pub struct Estimates {
    teams: BTreeMap<(TeamName, KindName, bool), Correction>,
    kinds: BTreeMap<(KindName, bool), Correction>,
    speeds: BTreeMap<EndpointName, Speed>,
    racks: BTreeMap<RackName, Speed>,
}

impl Estimates {
    fn correction(&self, team: &TeamName, kind: &KindName, declared: bool) -> Option<Correction> {
        let own = self.teams.get(&(team.clone(), kind.clone(), declared));
        own.or_else(|| self.kinds.get(&(kind.clone(), declared))).copied()
    }

    fn base(declared: Millis) -> f64 {
        let base = if declared == Millis::ZERO {
            DEFAULT_RUN_TIME
        } else {
            declared
        };
        base.as_secs_f64().ln()
    }

    /// Expected run time on an endpoint of mean speed.
    pub fn expected_run_time(&self, team: &TeamName, kind: &KindName, declared: Millis) -> Millis {
        let log = self.correction(team, kind, declared != Millis::ZERO);
        let log = log.map_or(0.0, |known| known.log);
        Millis(((Self::base(declared) + log).exp() * 1000.0) as u64)
    }

    /// Run time that most jobs stay below, used for the expected end of running jobs.
    pub fn run_time_bound(&self, team: &TeamName, kind: &KindName, declared: Millis) -> Millis {
        let known = self.correction(team, kind, declared != Millis::ZERO);
        let spread = known.map_or(DEFAULT_SPREAD, |known| known.spread);
        let expected = self.expected_run_time(team, kind, declared);
        Millis((expected.0 as f64 * spread.exp()) as u64)
    }

    /// Speed of an endpoint relative to the fleet's mean.
    pub fn speed(&self, endpoint: &EndpointName, rack: &RackName) -> f64 {
        self.log_speed(endpoint, rack).exp()
    }

    fn log_speed(&self, endpoint: &EndpointName, rack: &RackName) -> f64 {
        let rack = self.racks.get(rack).map_or(0.0, |speed| speed.shrunk_towards(0.0));
        let log = self
            .speeds
            .get(endpoint)
            .map_or(rack, |speed| speed.shrunk_towards(rack));
        let limit = SPEED_FACTOR_MAX.ln();
        log.clamp(-limit, limit)
    }

    /// Learns from a completed job. The slowest endpoint is assumed to have determined its run time.
    pub fn record_run(
        &mut self,
        team: &TeamName,
        kind: &KindName,
        declared: Millis,
        took: Millis,
        endpoints: &[(EndpointName, RackName)],
    ) {
        let known = declared != Millis::ZERO;
        let mut slowest = f64::MAX;
        for (endpoint, rack) in endpoints {
            slowest = slowest.min(self.log_speed(endpoint, rack));
        }
        if endpoints.is_empty() {
            slowest = 0.0;
        }
        let took = took.as_secs_f64().max(0.001).ln() - Self::base(declared);
        let own = self.teams.entry((team.clone(), kind.clone(), known)).or_default();
        own.learn(took + slowest - own.log);
        let correction = own.log;
        let shared = self.kinds.entry((kind.clone(), known)).or_default();
        shared.learn(took + slowest - shared.log);
        // It is not known which member of a gang was the slow one.
        if let [(endpoint, rack)] = endpoints {
            self.speeds
                .entry(endpoint.clone())
                .or_default()
                .learn(correction - took);
            self.racks.entry(rack.clone()).or_default().learn(correction - took);
        }
    }
}
