//! What each request is.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yuccaridge::job::{Adjacency, Class, JobSpec, Shape};
use yuccaridge::name::{JobId, KindName, NameError, PoolName, TeamName};

use super::answer::REQUEST_FIELD;

/// Sort of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestType {
    /// Call that may be repeated.
    IdempotentCall,
    /// Call that must run at most once.
    NonIdempotentCall,
    /// Batch job.
    Batch,
}

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: JobId,
    /// Its sort.
    pub request_type: RequestType,
    /// What it asks for.
    pub spec: JobSpec,
    /// Times that a whole answer names the request.
    pub pieces: usize,
}

/// Makes requests; the same number always gives the same one.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Start of all ids.
    pub run: String,
    /// Seed of all choices.
    pub seed: u64,
    /// Part of the requests that are calls.
    pub calls_share: f64,
    /// Part of the requests that must run at most once.
    pub non_idempotent_share: f64,
    /// Teams, one of which makes each request.
    pub teams: Vec<TeamName>,
    /// Kind of the calls.
    pub call_kind: KindName,
    /// Kind of the batch jobs.
    pub batch_kind: KindName,
    /// Pool of the batch jobs, if it is given.
    pub pool: Option<PoolName>,
    /// Work of a call, in milliseconds.
    pub call_ms: u64,
    /// Parts of a call's answer.
    pub parts: u32,
    /// Work of a batch job, in milliseconds.
    pub batch_ms: u64,
    /// Numbers of members of the batch jobs, one of which each has.
    pub members: Vec<u16>,
    /// Accelerators of each member.
    pub accelerators: u16,
}

impl Mix {
    /// Request of this number.
    pub fn request(&self, number: u64) -> Result<Request, NameError> {
        let mut random = SmallRng::seed_from_u64(self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let is_call = random.random_bool(self.calls_share);
        let idempotent = !random.random_bool(self.non_idempotent_share);
        let team = self.teams[random.random_range(0..self.teams.len())].clone();
        let members = self.members[random.random_range(0..self.members.len())];
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

    /// A [`crate::script::Script`].
    fn payload(&self, id: &JobId, is_call: bool) -> Value {
        let work_ms = if is_call { self.call_ms } else { self.batch_ms };
        json!({ "work_ms": work_ms, "parts": self.parts, "answer": { REQUEST_FIELD: id } })
    }
}
