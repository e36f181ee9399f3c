//! Steps of the life cycles of calls, jobs, tickets and leases.

use serde::{Deserialize, Serialize};

/// Priority of a write when the rate limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Leases, fencing and outcomes.
    High,
    /// Accepts, placements and tickets.
    Normal,
    /// Writes that can wait.
    Low,
}

/// Step in the life cycle of a call, a batch job, a ticket or a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Instance joins or renews its session.
    Renew,
    /// Instance gives up its session.
    Leave,
    /// Instance takes over a pool.
    Takeover,
    /// Batch job is written as queued.
    Accept,
    /// Caller's request to cancel is written.
    Cancel,
    /// Seats of a batch job are written.
    Place,
    /// Endpoint is told to reserve the seat of a member.
    Prepare,
    /// All members hold their seats; the job is written as running.
    Run,
    /// Member is told to start.
    Release,
    /// Task leases are renewed.
    RenewTasks,
    /// Task is asked for a checkpoint.
    Checkpoint,
    /// Task is told to stop.
    Stop,
    /// Task is throttled.
    Throttle,
    /// Endpoint is told to refuse an attempt.
    Refuse,
    /// Endpoint is told to discard the state of an ended attempt.
    Forget,
    /// Job that was preempted or whose placement was undone returns to the queue.
    Requeue,
    /// Outcome is written.
    End,
    /// Endpoint's quarantine is written.
    Quarantine,
    /// Non-idempotent call is written before it is sent.
    Open,
    /// Call is sent to an endpoint.
    Send,
    /// Outcome of a non-idempotent call is written.
    Close,
    /// Ticket is written as pending, together with the ticket head and its objects.
    Pending,
    /// Ticket is written as accepted.
    Accepted,
    /// Rows are read.
    Read,
    /// Endpoint is asked for its report.
    Report,
    /// List of instances and endpoints is read.
    List,
    /// Object is written or read.
    Object,
}

impl Step {
    /// Priority of the step's writes.
    pub fn priority(self) -> Priority {
        match self {
            Self::Renew | Self::Takeover | Self::Run | Self::End | Self::Close | Self::Accepted => Priority::High,
            Self::Quarantine | Self::Leave => Priority::Low,
            _ => Priority::Normal,
        }
    }

    /// Name for metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Renew => "renew",
            Self::Leave => "leave",
            Self::Takeover => "takeover",
            Self::Accept => "accept",
            Self::Cancel => "cancel",
            Self::Place => "place",
            Self::Prepare => "prepare",
            Self::Run => "run",
            Self::Release => "release",
            Self::RenewTasks => "renew_tasks",
            Self::Checkpoint => "checkpoint",
            Self::Stop => "stop",
            Self::Throttle => "throttle",
            Self::Refuse => "refuse",
            Self::Forget => "forget",
            Self::Requeue => "requeue",
            Self::End => "end",
            Self::Quarantine => "quarantine",
            Self::Open => "open",
            Self::Send => "send",
            Self::Close => "close",
            Self::Pending => "pending",
            Self::Accepted => "accepted",
            Self::Read => "read",
            Self::Report => "report",
            Self::List => "list",
            Self::Object => "object",
        }
    }
}
