//! State of one call.

use super::guard::{InFlightGuard, SlotReservation};
use crate::accept::StoredJob;
use crate::api::{JobState, JobView};
use crate::job::{JobRow, JobSpec, NotRunReason, Outcome, Phase};
use crate::name::{EndpointName, InstanceName, JobId};
use crate::platform::{CallPart, EndpointError, OpId, Version};
use crate::time::Millis;

/// Result of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Progress {
    /// The next step is due at once.
    Again,
    /// The next step is due after this time.
    Wait(Millis),
    /// The call is done; its view for the caller.
    Done(Box<JobView>),
}

/// Parts that an endpoint returned for a call, or why there are none.
pub(super) type SendResult = Result<Vec<CallPart>, EndpointError>;

/// Work of the next step.
#[derive(Debug)]
pub(super) enum Stage {
    /// Send an idempotent call.
    SendIdempotent,
    /// Evaluate the result of sending an idempotent call.
    HandleIdempotentReply {
        reservation: SlotReservation,
        send_result: SendResult,
    },
    /// Read the row.
    ReadRow,
    /// Send the attempt in the row, which has not been sent.
    Send {
        stored: StoredJob,
        reservation: SlotReservation,
    },
    /// Evaluate the result of sending the attempt in the row.
    HandleReply {
        stored: StoredJob,
        reservation: SlotReservation,
        send_result: SendResult,
    },
    /// Find out whether the attempt in the row was started.
    Resolve { stored: StoredJob },
    /// Write the known outcome.
    WriteOutcome { stored: StoredJob, outcome: Outcome },
}

/// A call that is being executed.
#[derive(Debug)]
pub struct Call {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) digest: String,
    pub(super) trace: Option<String>,
    pub(super) deadline: Millis,
    pub(super) stage: Stage,
    /// Endpoints that failed this call or may not take calls; none of them is tried again.
    pub(super) avoid: Vec<EndpointName>,
    pub(super) tries: u32,
    /// Attempt number of an idempotent call's first try.
    pub(super) first_attempt: u32,
    /// Whether a try of an idempotent call may have run.
    pub(super) may_have_run: bool,
    pub(super) in_flight_guard: Option<InFlightGuard>,
    /// Reserved slot for the attempt that is being written.
    pub(super) reservation: Option<SlotReservation>,
    /// Transactions that may have written an attempt that has not been sent.
    pub(super) unsent_ops: Vec<OpId>,
    /// Whether a row of this call was read or written, so that the call may have run.
    pub(super) row_seen: bool,
    /// Version of the row whose attempt is proven not to have been started.
    pub(super) unstarted_version: Option<Version>,
    /// Attempt and its known outcome, which may not be written yet.
    pub(super) known_outcome: Option<(u32, Outcome)>,
}

impl Call {
    /// The id.
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Time by which the caller must have an answer.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    pub(super) fn is_past_deadline(&self, now: Millis) -> bool {
        now >= self.deadline
    }

    fn done_in_state(&self, state: JobState, attempt: u32, endpoints: Vec<EndpointName>, outcome: Outcome) -> Progress {
        Progress::Done(Box::new(JobView {
            id: self.id.clone(),
            state,
            outcome: Some(outcome),
            attempt,
            pool: None,
            endpoints,
            trace: self.trace.clone(),
        }))
    }

    /// Ends the call with its outcome.
    pub(super) fn done(&self, attempt: u32, endpoints: Vec<EndpointName>, outcome: Outcome) -> Progress {
        self.done_in_state(JobState::Ended, attempt, endpoints, outcome)
    }

    /// Ends the request with the known outcome if it proves that the call ran, else with an unknown outcome.
    pub(super) fn give_up(&self, reason: &str) -> Progress {
        if let Some((attempt, outcome @ (Outcome::Completed { .. } | Outcome::Failed { .. }))) = &self.known_outcome {
            return self.done(*attempt, Vec::new(), outcome.clone());
        }
        let reason = format!("{reason}. Send the request again with the same id.");
        self.done_in_state(JobState::Running, 0, Vec::new(), Outcome::Unknown { reason })
    }

    /// Sends the attempt that was just written, or reads the row if no slot is reserved.
    pub(super) fn set_send_stage(&mut self, stored: StoredJob) {
        self.row_seen = true;
        self.stage = match self.reservation.take() {
            Some(reservation) => Stage::Send { stored, reservation },
            None => Stage::ReadRow,
        };
    }

    /// Ends a call whose deadline passed before it was sent or started.
    pub(super) fn end_at_deadline(&mut self, stored: StoredJob) {
        let outcome = Outcome::NotRun {
            reason: NotRunReason::Deadline,
            message: "The call's deadline passed before an endpoint started it.".to_owned(),
        };
        self.stage = Stage::WriteOutcome { stored, outcome };
    }
}

/// The endpoint, its boot and the sending instance in the row of a call that was sent.
pub(super) fn sent_phase(row: &JobRow) -> Option<(&EndpointName, u64, &InstanceName)> {
    match &row.phase {
        Phase::Sent { endpoint, boot, sender } => Some((endpoint, *boot, sender)),
        _ => None,
    }
}
