//! Commands and calls to endpoints.
//!
//! Every command is idempotent: repeating one after a lost answer returns the state that the first one caused. An
//! endpoint remembers refused attempts, so that a delayed copy of an earlier command cannot start them.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Address, Step};
use crate::name::{EndpointName, JobId, KindName, PoolName, TeamName};
use crate::time::Millis;

/// What a command asks of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Hold a place without running.
    Prepare {
        /// Kind of job.
        kind: KindName,
        /// Cores.
        cores: u32,
        /// Memory, in megabytes.
        memory_mb: u64,
        /// Indices of the accelerators.
        accelerators: Vec<u16>,
        /// Number of members in the gang.
        members: u16,
        /// Input.
        payload: serde_json::Value,
        /// Object to resume from.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<String>,
        /// W3C `traceparent` of the request that submitted the job.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        trace: Option<String>,
    },
    /// Start what was prepared.
    Release,
    /// Write a checkpoint to this object and go on.
    Checkpoint {
        /// Name of the object.
        object: String,
    },
    /// Run at this share of full speed.
    Throttle {
        /// 1 to 100.
        percent: u8,
    },
    /// Stop, with a checkpoint to this object if one is named.
    Stop {
        /// Name of the object.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<String>,
        /// Time for the checkpoint, after which the task is stopped without.
        grace_ms: u64,
    },
    /// Never start this attempt; tells if it has started already.
    Refuse,
    /// The attempt is over: stop it if it still runs, drop what is kept of it, and never start it again.
    Forget,
}

/// A command for one member of a job's attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Member, from 0.
    pub member: u16,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

impl Action {
    /// Step that the action belongs to.
    pub fn step(&self) -> Step {
        match self {
            Self::Prepare { .. } => Step::Prepare,
            Self::Release => Step::Release,
            Self::Checkpoint { .. } => Step::Checkpoint,
            Self::Throttle { .. } => Step::Throttle,
            Self::Stop { .. } => Step::Stop,
            Self::Refuse => Step::Refuse,
            Self::Forget => Step::Forget,
        }
    }
}

/// Commands of one pool to one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The pool.
    pub pool: PoolName,
    /// Fencing token: the pool's epoch.
    pub epoch: u64,
    /// Boot of the endpoint that the commands are meant for; `None` for any. A restarted endpoint has forgotten
    /// refusals and epochs, so it must not carry out commands that were sent to its earlier boot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// Prolong the leases of all tasks of this pool by this much; `None` leaves them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renew_ms: Option<u64>,
    /// Commands, carried out in order.
    pub commands: Vec<Command>,
}

/// State of a task on its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// Place held, nothing runs.
    Held,
    /// Runs.
    Running,
    /// Asked to stop, not stopped yet.
    Stopping,
    /// Ended with its part of the answer.
    Finished {
        /// The member's answer.
        answer: serde_json::Value,
    },
    /// Ended with an error.
    Failed {
        /// Reason.
        reason: String,
    },
    /// Stopped on command or because its lease lapsed.
    Stopped {
        /// Object with the checkpoint, if one was written.
        #[serde(default)]
        checkpoint: Option<String>,
        /// Whether it ever ran.
        ran: bool,
    },
    /// Refused: it never started and never will.
    Refused,
}

/// Answer to one command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    /// State after the command.
    Task {
        /// The state.
        #[serde(flatten)]
        state: TaskState,
    },
    /// The batch's epoch is older than one already seen.
    Stale {
        /// Newest epoch seen for the pool.
        epoch: u64,
    },
    /// The endpoint has restarted since; nothing was carried out.
    Rebooted {
        /// Its boot now.
        boot: u64,
    },
    /// The place is not free or does not exist.
    Busy {
        /// What is missing.
        reason: String,
    },
    /// No such task is known here.
    Absent,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Pool whose planner owns the task.
    pub pool: PoolName,
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: u32,
    /// Member, from 0.
    pub member: u16,
    /// State.
    #[serde(flatten)]
    pub state: TaskState,
    /// Cores in use, of late.
    #[serde(default)]
    pub cores: f64,
    /// Memory in use, of late, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
}

/// What an endpoint reports; the usage in it lags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    #[serde(rename = "worker")]
    pub endpoint: EndpointName,
    /// Changes when the endpoint restarts and has forgotten its tasks.
    pub boot: u64,
    /// Tasks held, running, or ended and not yet acknowledged by [`Action::Forget`].
    pub tasks: Vec<TaskReport>,
    /// Calls running now, from all instances.
    pub calls: u16,
    /// Age of the usage figures, in milliseconds.
    pub lag_ms: u64,
}

/// A call to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Team, for the endpoint's accounting.
    pub team: TeamName,
    /// Kind of job.
    pub kind: KindName,
    /// Boot of the endpoint that the call is meant for; `None` for any. A restarted endpoint has forgotten which
    /// attempts it refused and ran, so it must refuse a call that was meant for its earlier boot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// W3C `traceparent`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
    /// Input.
    pub payload: serde_json::Value,
}

/// Part of an answer to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallPart {
    /// The job.
    pub job: JobId,
    /// The attempt that it answers.
    pub attempt: u32,
    /// Number of the part, from 0.
    pub sequence: u32,
    /// Whether it is the last.
    pub last: bool,
    /// Set if the call failed; then `data` is the reason.
    #[serde(default)]
    pub failed: bool,
    /// Content.
    pub data: serde_json::Value,
}

/// An endpoint's answer to the request never to start a call's attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum Refusal {
    /// It never started and never will.
    Refused,
    /// It runs now.
    Running,
    /// It ended; all its parts.
    Ended {
        /// The parts.
        parts: Vec<CallPart>,
    },
}

/// Failure to reach an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointError {
    /// No connection was made; the request did not reach the endpoint.
    #[error("endpoint cannot be reached: {0}")]
    Unreached(String),
    /// The endpoint had no free slot or connection and did not start.
    #[error("endpoint is full")]
    Full,
    /// The endpoint refuses this attempt and did not start.
    #[error("endpoint refuses the attempt")]
    Refused,
    /// The connection broke or the time ran out after sending; the request may have taken effect.
    #[error("endpoint's answer was lost: {0}")]
    Lost(String),
}

impl EndpointError {
    /// Whether it is certain that nothing was started.
    pub fn is_unstarted(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }
}

/// The endpoints.
pub trait Endpoints: fmt::Debug + Send + Sync {
    /// Sends commands; one reply each, in order.
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError>;

    /// Asks for a report.
    fn report(&self, address: Address) -> Result<Report, EndpointError>;

    /// Makes a call; returns the parts received, in order of arrival, when the stream ends or the time runs out.
    fn call(&self, address: Address, call: &CallRequest, timeout: Millis) -> Result<Vec<CallPart>, EndpointError>;

    /// Asks an endpoint never to start an attempt of a call.
    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, EndpointError>;
}
