//! Generator of the requests.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yuccaridge::job::{Adjacency, Class, JobSpec, Shape};
use yuccaridge::name::{JobId, KindName, NameError, PoolName, TeamName};

use super::answer::REQUEST_FIELD;

/// Type of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestType {
    /// Call that may run more than once.
    IdempotentCall,
    /// Call that must run at most once.
    NonIdempotentCall,
    /// Batch job.
    Batch,
}

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id of its job.
    pub id: JobId,
    /// Type.
    pub request_type: RequestType,
    /// Specification of its job.
    pub spec: JobSpec,
    /// Number of times that a complete answer contains the id.
    pub pieces: usize,
}

/// Distribution of the requests. A request depends only on its number and on these fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Name of the run; prefix of all job ids.
    pub run: String,
    /// Seed of the random choices.
    pub seed: u64,
    /// Share of calls among the requests, from 0 to 1.
    pub calls_share: f64,
    /// Share of requests that must run at most once, from 0 to 1.
    pub non_idempotent_share: f64,
    /// Teams; each request belongs to one of them at random.
    pub teams: Vec<TeamName>,
    /// Kind of the calls.
    pub call_kind: KindName,
    /// Kind of the batch jobs.
    pub batch_kind: KindName,
    /// Pool of the batch jobs; chosen by the system if absent.
    pub pool: Option<PoolName>,
    /// Work of a call at speed 1, in milliseconds.
    pub call_ms: u64,
    /// Number of parts in a call's answer.
    pub parts: u32,
    /// Work of a batch job at speed 1, in milliseconds.
    pub batch_ms: u64,
    /// Gang sizes of the batch jobs; each job has one of them at random.
    pub members: Vec<u16>,
    /// Accelerators of each member of a batch job.
    pub accelerators: u16,
}

impl Mix {
    /// Generates the request with this number.
    pub fn request(&self, number: u64) -> Result<Request, NameError> {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let is_call = rng.random_bool(self.calls_share);
        let idempotent = !rng.random_bool(self.non_idempotent_share);
        let team = self.teams[rng.random_range(0..self.teams.len())].clone();
        let members = self.members[rng.random_range(0..self.members.len())];
        let id = JobId::new(format!("{}-{number}", self.run))?;
        let (class, kind) = if is_call {
            (Class::Call, &self.call_kind)
        } else {
            (Class::Batch, &self.batch_kind)
        };
        let (request_type, pieces) = match (is_call, idempotent) {
            (true, true) => (RequestType::IdempotentCall, self.parts as usize),
            (true, false) => (RequestType::NonIdempotentCall, self.parts as usize),
            (false, _) => (RequestType::Batch, usize::from(members)),
        };
        let spec = JobSpec {
            team,
            kind: kind.clone(),
            class,
            idempotent,
            shape: if is_call { Shape::default() } else { self.shape(members) },
            run_time_s: if is_call { 0 } else { self.batch_ms.div_ceil(1000) },
            deadline_s: 0,
            checkpoints: false,
            urgent: false,
            pool: self.pool.clone().filter(|_| !is_call),
            payload: self.payload(&id, is_call),
        };
        Ok(Request {
            id,
            request_type,
            spec,
            pieces,
        })
    }

    fn shape(&self, members: u16) -> Shape {
        Shape {
            members,
            accelerators: self.accelerators,
            adjacent: Adjacency::Any,
            ..Shape::default()
        }
    }

    /// Payload of a job, in the format of [`crate::script::Script`].
    fn payload(&self, id: &JobId, is_call: bool) -> Value {
        let work_ms = if is_call { self.call_ms } else { self.batch_ms };
        json!({ "work_ms": work_ms, "parts": self.parts, "answer": { REQUEST_FIELD: id } })
    }
}
