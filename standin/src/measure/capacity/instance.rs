//! An instance with a full pool, in virtual time.

use std::sync::Arc;

use miette::{IntoDiagnostic, Result, miette};
use serde_json::{Map, Value, json};
use yuccaridge::instance::{Core, CoreOptions};
use yuccaridge::job::{JobRow, Phase};
use yuccaridge::name::JobId;
use yuccaridge::plan::Weights;
use yuccaridge::platform::{ListedEndpoint, Presence, Table};
use yuccaridge::row::key;
use yuccaridge::time::{Clock, Millis};

use super::metered_link::MeteredLink;
use crate::endpoint::Endpoint;
use crate::fake::{Link, Platform};

/// Time between two steps, as in the daemon's threads.
const STEP_INTERVAL: Millis = Millis(50);
/// Number of teams in the configuration, as at the target size.
const TEAM_COUNT: usize = 590;
/// Numbers of members of the jobs, in turn.
const MEMBERS_PER_JOB: [u16; 6] = [1, 2, 4, 8, 16, 128];
/// Run time of a job that does not end during the measurement, in milliseconds.
const LONG_JOB_MS: u64 = 4 * 3_600_000;

/// An instance and its platform.
#[derive(Debug)]
pub struct MeasuredInstance {
    platform: Arc<Platform>,
    core: Core,
    /// Counts the requests of the instance.
    pub metered_link: Arc<MeteredLink>,
    submitted: usize,
}

fn listed_endpoint(index: u16) -> Result<ListedEndpoint> {
    let [high, low] = index.to_be_bytes();
    Ok(ListedEndpoint {
        name: format!("worker-{index}").parse().into_diagnostic()?,
        address: ([127, 1, high, low], 7000).into(),
        rack: format!("rack-{}", index / 8).parse().into_diagnostic()?,
        domain: "d0".parse().into_diagnostic()?,
        cores: 64,
        memory_mb: 262_144,
        accelerators: 2,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    })
}

fn ticket() -> Value {
    let teams: Map<_, _> = (0..TEAM_COUNT)
        .map(|number| (format!("team-{number}"), json!({ "quota": 1000, "kinds": ["k"] })))
        .collect();
    json!({ "objects": { "pool": { "p": { "domains": ["d0"] } }, "kind": { "k": { "class": "batch" } }, "team": teams } })
}

impl MeasuredInstance {
    /// Starts an instance that plans one pool with this many endpoints and no jobs.
    pub fn start(endpoints: u16) -> Result<Self> {
        let platform = Platform::new();
        for index in 0..endpoints {
            platform.add_endpoint(Endpoint::new(listed_endpoint(index)?, 1.0));
        }
        let link = Link::new(&platform);
        let metered_link = Arc::new(MeteredLink::new(Arc::clone(&link)));
        let core = Core::new(CoreOptions {
            instance: "i0".parse().into_diagnostic()?,
            boot: "1".to_owned(),
            peer: ([127, 0, 0, 1], 7401).into(),
            domain: "d0".parse().into_diagnostic()?,
            weights: Weights::default(),
            seed: 1,
            table: Arc::<MeteredLink>::clone(&metered_link),
            objects: link,
            listing: Arc::<MeteredLink>::clone(&metered_link),
            endpoints: Arc::<MeteredLink>::clone(&metered_link),
        });
        let mut instance = Self {
            platform,
            core,
            metered_link,
            submitted: 0,
        };
        instance.run_for(Millis::from_secs(1));
        let body = ticket().to_string();
        instance
            .core
            .tickets
            .put(instance.now(), 1, body.as_bytes())
            .into_diagnostic()?;
        instance.run_for(Millis::from_secs(10));
        Ok(instance)
    }

    /// Current virtual time.
    pub fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    /// Steps the instance for a period of virtual time.
    pub fn run_for(&mut self, span: Millis) {
        let end = self.now() + span;
        while self.now() < end {
            self.core.step(self.now());
            self.platform.clock.advance(STEP_INTERVAL);
        }
    }

    fn submit(&mut self, members: u16, work_ms: u64) -> Result<JobId> {
        let id: JobId = format!("job-{}", self.submitted).parse().into_diagnostic()?;
        // Only a third of the jobs uses accelerators: an endpoint has two of them for 4.3 tasks on average.
        let accelerators = u16::from(members <= 16 && self.submitted.is_multiple_of(3));
        let shape = json!({ "members": members, "accelerators": accelerators });
        let body = json!({
            "team": format!("team-{}", self.submitted % TEAM_COUNT), "kind": "k", "class": "batch", "idempotent": true,
            "run_time_s": work_ms / 1000, "shape": shape, "payload": { "work_ms": work_ms },
        });
        self.submitted += 1;
        let view = self
            .core
            .accept
            .submit(self.now(), &id, body.to_string().as_bytes(), None)
            .into_diagnostic()?;
        if let Some(pool) = view.pool {
            self.core.pools.reload_job(pool, id.clone());
        }
        Ok(id)
    }

    fn wait_for_phase<F>(&mut self, jobs: &[JobId], is_reached: F) -> Result<()>
    where
        F: Fn(&Phase) -> bool,
    {
        let keys: Vec<_> = jobs.iter().map(key::job).collect();
        for _ in 0..600 {
            self.run_for(Millis::from_secs(1));
            let rows = self.platform.table.read(&keys).into_diagnostic()?;
            let rows = rows
                .into_iter()
                .flatten()
                .filter_map(|row| serde_json::from_value::<JobRow>(row.value).ok());
            if rows.filter(|row| is_reached(&row.phase)).count() == jobs.len() {
                return Ok(());
            }
        }
        Err(miette!(
            "the jobs did not reach the expected phase within 600 s of virtual time"
        ))
    }

    /// Submits long jobs until this many tasks run, and returns the number of running tasks.
    pub fn fill(&mut self, tasks: usize) -> Result<usize> {
        let mut jobs = Vec::new();
        let mut running = 0;
        let mut next_size = 0;
        while running < tasks {
            let members = MEMBERS_PER_JOB[next_size % MEMBERS_PER_JOB.len()];
            next_size += 1;
            if usize::from(members) > tasks - running {
                continue;
            }
            jobs.push(self.submit(members, LONG_JOB_MS)?);
            running += usize::from(members);
        }
        self.wait_for_phase(&jobs, |phase| matches!(phase, Phase::Running { .. }))?;
        // Endpoints with recent attempts are asked for reports more often, so wait until the attempts are older.
        self.run_for(Millis::from_secs(150));
        Ok(running)
    }

    /// Runs short jobs of one member to completion, one after the other.
    pub fn run_short_jobs(&mut self, jobs: usize) -> Result<()> {
        for _ in 0..jobs {
            let job = self.submit(1, 500)?;
            self.wait_for_phase(&[job], |phase| matches!(phase, Phase::Ended { .. }))?;
        }
        Ok(())
    }
}
