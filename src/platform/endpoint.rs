//! Commands and calls to endpoints.
//!
//! Every command is idempotent: repeating one after a lost answer returns the state that the first copy caused. An
//! endpoint remembers the attempts that it was told to refuse, so that a delayed copy of an earlier command cannot start
//! them.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Address, Step};
use crate::name::{EndpointName, JobId, KindName, PoolName, TeamName};
use crate::time::Millis;

/// Action that a command requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Reserve resources for a member without starting it.
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
    /// Start the prepared member.
    Release,
    /// Write a checkpoint to this object and continue.
    Checkpoint {
        /// Name of the object.
        object: String,
    },
    /// Limit the speed of the task.
    Throttle {
        /// Percentage of full speed, 1 to 100.
        percent: u8,
    },
    /// Stop, after a checkpoint if an object is named.
    Stop {
        /// Object to write the checkpoint to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<String>,
        /// Time for the checkpoint, in milliseconds; the task is stopped without one when it runs out.
        grace_ms: u64,
    },
    /// Never start this attempt; the reply tells whether it has already started.
    Refuse,
    /// The attempt has ended: stop it if it still runs, discard its state, and never start it again.
    Forget,
}

/// A command for one member of a job's attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the member, from 0.
    pub member: u16,
    /// Action to take.
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

/// Commands from one pool to one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The pool.
    pub pool: PoolName,
    /// Fencing token: the pool's epoch.
    pub epoch: u64,
    /// Boot of the endpoint that the commands are meant for; `None` for any. A restart loses the endpoint's record of
    /// refusals and epochs, so an endpoint must not carry out commands that were sent to an earlier boot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// Time by which the leases of all tasks of this pool are extended; `None` leaves them unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub renew_ms: Option<u64>,
    /// Commands, in the order in which they are carried out.
    pub commands: Vec<Command>,
}

/// State of a task on its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// Resources are reserved; nothing runs.
    Held,
    /// Task runs.
    Running,
    /// Stop was requested; the task has not stopped yet.
    Stopping,
    /// Ended with the member's part of the answer.
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
        /// Whether the task ever ran.
        ran: bool,
    },
    /// The attempt is refused: it has not started and never will.
    Refused,
}

/// Answer to one command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    /// State of the task after the command.
    Task {
        /// The state.
        #[serde(flatten)]
        state: TaskState,
    },
    /// The endpoint has seen a newer epoch than that of the batch.
    Stale {
        /// Newest epoch seen for the pool.
        epoch: u64,
    },
    /// The endpoint has restarted since the named boot; nothing was carried out.
    Rebooted {
        /// Current boot.
        boot: u64,
    },
    /// The resources are not free or do not exist.
    Busy {
        /// What is missing.
        reason: String,
    },
    /// The endpoint does not know the task.
    Absent,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Pool whose planner owns the task.
    pub pool: PoolName,
    /// The job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the member, from 0.
    pub member: u16,
    /// State of the task.
    #[serde(flatten)]
    pub state: TaskState,
    /// Recent use of cores.
    #[serde(default)]
    pub cores: f64,
    /// Recent use of memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
}

/// Report of an endpoint. Its usage figures lag.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    #[serde(rename = "worker")]
    pub endpoint: EndpointName,
    /// Identifies the start of the endpoint; a restart loses all tasks.
    pub boot: u64,
    /// Tasks held, running, or ended and not yet acknowledged by [`Action::Forget`].
    pub tasks: Vec<TaskReport>,
    /// Running calls, from all instances.
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
    /// Boot of the endpoint that the call is meant for; `None` for any. A restart loses the record of refused and run
    /// attempts, so an endpoint must refuse a call that was meant for an earlier boot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// Time left until the deadline, in milliseconds.
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
    /// Attempt that the part answers.
    pub attempt: u32,
    /// Number of the part, from 0.
    pub sequence: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// Whether the call failed; `data` is the reason then.
    #[serde(default)]
    pub failed: bool,
    /// Content.
    pub data: serde_json::Value,
}

/// Answer of an endpoint that is told to refuse an attempt of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum Refusal {
    /// The attempt has not started and never will.
    Refused,
    /// The attempt is running.
    Running,
    /// The attempt has ended.
    Ended {
        /// All parts of its answer.
        parts: Vec<CallPart>,
    },
}

/// Failure of a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointError {
    /// The connection could not be opened; the request did not reach the endpoint.
    #[error("endpoint cannot be reached: {0}")]
    Unreached(String),
    /// The endpoint has no free slot or connection; nothing was started.
    #[error("endpoint is full")]
    Full,
    /// The endpoint refuses this attempt; nothing was started.
    #[error("endpoint refuses the attempt")]
    Refused,
    /// The connection broke or timed out after the request was sent; the request may have taken effect.
    #[error("endpoint's answer was lost: {0}")]
    Lost(String),
}

impl EndpointError {
    /// Whether it is certain that nothing was started.
    pub fn is_unstarted(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }
}

/// Requests to endpoints.
pub trait Endpoints: fmt::Debug + Send + Sync {
    /// Sends commands; returns one reply for each, in the same order.
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError>;

    /// Requests a report.
    fn report(&self, address: Address) -> Result<Report, EndpointError>;

    /// Makes a call; returns the parts received, in order of arrival, when the stream ends or `timeout` has passed.
    fn call(&self, address: Address, call: &CallRequest, timeout: Millis) -> Result<Vec<CallPart>, EndpointError>;

    /// Tells an endpoint to refuse an attempt of a call, so that it never starts.
    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, EndpointError>;
}
