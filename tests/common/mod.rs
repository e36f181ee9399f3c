//! Fixtures for tests of the planner: a platform in memory, a catalog, jobs, and a planner in virtual time.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::{Value, json};
use standin::endpoint::Endpoint;
use standin::fake::{Link, Platform};
use yuccaridge::job::{Class, JobRow, JobSpec, Outcome, Phase, Shape};
use yuccaridge::name::{JobId, PoolName};
use yuccaridge::plan::{Scheduler, Weights};
use yuccaridge::planner::{Claim, Planner, PlannerError, StepInput};
use yuccaridge::platform::{ListedEndpoint, Listing, Objects, Presence, Put, Step, Table, Txn};
use yuccaridge::row::{OpIds, key};
use yuccaridge::team::{Catalog, Guarantee, Kind, Level, Pool, Team};
use yuccaridge::time::{Clock, Millis};

/// Time by which the virtual clock advances between two planner steps.
pub const STEP_INTERVAL: Millis = Millis(100);

pub fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

/// List entry of endpoint `w{index}`. Each rack has 8 endpoints.
pub fn listed_endpoint(index: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: name(&format!("w{index}")),
        address: ([127, 0, 0, 1], 20_000 + index).into(),
        rack: name(&format!("r{}", index / 8)),
        domain: name("d0"),
        cores: 64,
        memory_mb: 256_000,
        accelerators: 8,
        slots: 8,
        connections: 60,
        presence: Presence::Live,
    }
}

/// A platform with this many endpoints, named `w0`, `w1`, and so on.
pub fn platform(endpoints: u16) -> Arc<Platform> {
    let platform = Platform::new();
    for index in 0..endpoints {
        platform.add_endpoint(Endpoint::new(listed_endpoint(index), 1.0));
    }
    platform
}

/// Pool `p`, kinds `k` (batch) and `c` (call), team `a` with one guaranteed endpoint of 8 accelerators, and team `b`
/// without guarantees.
pub fn catalog() -> Catalog {
    let kinds = BTreeSet::from([name("k"), name("c")]);
    let guarantee = Guarantee {
        pool: name("p"),
        level: Level::Endpoint,
        accelerators: 8,
        count: 1,
    };
    let team = |guarantees| Team {
        guarantees,
        quota: 1000,
        weight: 1,
        kinds: kinds.clone(),
    };
    Catalog {
        number: 1,
        teams: BTreeMap::from([(name("a"), team(vec![guarantee])), (name("b"), team(Vec::new()))]),
        kinds: BTreeMap::from([
            (
                name("k"),
                Kind {
                    class: Class::Batch,
                    about: String::new(),
                },
            ),
            (
                name("c"),
                Kind {
                    class: Class::Call,
                    about: String::new(),
                },
            ),
        ]),
        pools: BTreeMap::from([(
            name("p"),
            Pool {
                domains: BTreeSet::from([name("d0")]),
                racks: BTreeSet::new(),
            },
        )]),
    }
}

/// An idempotent batch job of team `b`; each member uses 8 accelerators and works for `work_ms`.
pub fn gang(members: u16, work_ms: u64) -> JobSpec {
    JobSpec {
        team: name("b"),
        kind: name("k"),
        class: Class::Batch,
        idempotent: true,
        shape: Shape {
            members,
            accelerators: 8,
            ..Shape::default()
        },
        run_time_s: work_ms.div_ceil(1000),
        deadline_s: 0,
        checkpoints: false,
        urgent: false,
        pool: None,
        payload: json!({ "work_ms": work_ms, "answer": "done" }),
    }
}

/// Runs the planner of pool `p` as an instance does, in virtual time and with a link of its own to the platform.
#[derive(Debug)]
pub struct PlannerHost {
    pub platform: Arc<Platform>,
    pub link: Arc<Link>,
    pub catalog: Catalog,
    pub planner: Planner,
    pub session_live: bool,
    pub renew_leases: bool,
}

fn claim(platform: &Arc<Platform>, link: &Arc<Link>, instance: &str) -> Result<Planner, PlannerError> {
    let pool: PoolName = name("p");
    let version = platform.table.read(&[key::pool(&pool)]).expect("read")[0]
        .as_ref()
        .map_or(0, |row| row.version);
    let table: Arc<dyn Table> = Arc::<Link>::clone(link);
    let objects: Arc<dyn Objects> = Arc::<Link>::clone(link);
    let claim = Claim {
        pool: pool.clone(),
        instance: name(instance),
        boot: "1".to_owned(),
        version,
        checks: Vec::new(),
        table,
        objects,
        ops: Arc::new(OpIds::new(&name(instance), "1")),
    };
    Planner::claim(
        claim,
        Box::new(Scheduler::new(pool, Weights::default())),
        platform.clock.now(),
    )
}

impl PlannerHost {
    /// Claims pool `p` for this instance, even if another instance holds it.
    pub fn start(platform: &Arc<Platform>, instance: &str) -> Self {
        let link = Link::new(platform);
        let planner = claim(platform, &link, instance).expect("the pool can be claimed");
        Self {
            platform: Arc::clone(platform),
            link,
            catalog: catalog(),
            planner,
            session_live: true,
            renew_leases: true,
        }
    }

    /// Runs one planner step at the current virtual time, sends its requests and passes the answers to the planner.
    pub fn step(&mut self) -> Result<(), PlannerError> {
        let endpoints = self.platform_endpoints();
        let view = StepInput {
            session_live: self.session_live,
            renew_leases: self.renew_leases,
            catalog: &self.catalog,
            endpoints: &endpoints,
        };
        let progress = self.planner.step(self.platform.clock.now(), view)?;
        for request in progress.requests {
            let result = request.send(self.link.as_ref());
            self.planner.handle_answer(self.platform.clock.now(), &request, result);
        }
        Ok(())
    }

    fn platform_endpoints(&self) -> BTreeMap<yuccaridge::name::EndpointName, ListedEndpoint> {
        let listed = Link::new(&self.platform).list().expect("the list is available");
        listed
            .endpoints
            .into_iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint))
            .collect()
    }

    /// Runs steps for `span` of virtual time. The planner retries after all errors but [`PlannerError::Fenced`].
    pub fn run_for(&mut self, span: Millis) -> Result<(), PlannerError> {
        let end = self.platform.clock.now() + span;
        while self.platform.clock.now() < end {
            self.step()?;
            self.platform.clock.advance(STEP_INTERVAL);
        }
        self.step()
    }
}

/// Writes the rows of an accepted job.
pub fn submit(platform: &Platform, id: &str, spec: JobSpec) -> JobId {
    let id: JobId = name(id);
    let row = JobRow {
        id: id.clone(),
        spec,
        digest: String::new(),
        pool: name("p"),
        attempt: 0,
        phase: Phase::Queued,
        cancel: false,
        started: false,
        checkpoint: None,
        stored: None,
        trace: None,
    };
    write_job(platform, &row, true);
    id
}

/// Writes a job's row and writes or removes its queue entry, without checking the versions of the rows.
pub fn write_job(platform: &Platform, row: &JobRow, queued: bool) {
    let puts = vec![
        Put {
            key: key::job(&row.id),
            value: Some(serde_json::to_value(row).expect("rows serialize")),
        },
        Put {
            key: key::queue_entry(&row.pool, &row.id),
            value: queued.then(|| json!({})),
        },
    ];
    let op = yuccaridge::platform::OpId(format!("test-{}-{}", row.id, platform.table.usage().commits));
    platform
        .table
        .commit(&Txn {
            step: Step::Accept,
            op,
            checks: Vec::new(),
            puts,
        })
        .expect("a transaction without checks commits");
}

/// Reads a job's row.
pub fn job(platform: &Platform, id: &JobId) -> JobRow {
    let row = platform
        .table
        .read(&[key::job(id)])
        .expect("the table answers")
        .remove(0)
        .expect("the job exists");
    serde_json::from_value(row.value).expect("a valid job row")
}

/// A job's outcome, if it has ended.
pub fn outcome(platform: &Platform, id: &JobId) -> Option<Outcome> {
    match job(platform, id).phase {
        Phase::Ended { outcome } => Some(outcome),
        _ => None,
    }
}

/// The answer of a completed job.
pub fn answer(platform: &Platform, id: &JobId) -> Option<Value> {
    match outcome(platform, id) {
        Some(Outcome::Completed { answer }) => Some(answer),
        _ => None,
    }
}
