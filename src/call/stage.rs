//! One call and how far it has come.

use super::guard::{InFlightGuard, SlotReservation};
use crate::accept::StoredJob;
use crate::api::{JobState, JobView};
use crate::job::{JobRow, JobSpec, NotRunReason, Outcome, Phase};
use crate::name::{EndpointName, InstanceName, JobId};
use crate::platform::{CallPart, EndpointError, OpId, Version};
use crate::time::Millis;

/// What a step came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Progress {
    /// Step again at once.
    Again,
    /// Step again after this time.
    Wait(Millis),
    /// This is the answer.
    Done(Box<JobView>),
}

pub(super) type SendResult = Result<Vec<CallPart>, EndpointError>;

#[derive(Debug)]
pub(super) enum Stage {
    /// Idempotent: to be sent.
    SendIdempotent,
    /// Idempotent: something came back.
    HandleIdempotentReply {
        reservation: SlotReservation,
        send_result: SendResult,
    },
    /// The row is to be read.
    ReadRow,
    /// The row names this attempt, which was not sent.
    Send {
        stored: StoredJob,
        reservation: SlotReservation,
    },
    /// Something came back for the attempt in the row.
    HandleReply {
        stored: StoredJob,
        reservation: SlotReservation,
        send_result: SendResult,
    },
    /// The attempt in the row may have been started.
    Resolve { stored: StoredJob },
    /// The outcome is known and to be written.
    WriteOutcome { stored: StoredJob, outcome: Outcome },
}

/// A call on its way.
#[derive(Debug)]
pub struct Call {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) digest: String,
    pub(super) trace: Option<String>,
    pub(super) deadline: Millis,
    pub(super) stage: Stage,
    /// Endpoints that failed this call.
    pub(super) avoid: Vec<EndpointName>,
    pub(super) tries: u32,
    /// Number of the first attempt of an idempotent call.
    pub(super) first_attempt: u32,
    /// Whether an attempt of an idempotent call may have run.
    pub(super) may_have_run: bool,
    pub(super) in_flight_guard: Option<InFlightGuard>,
    /// Slot for the attempt that is being written.
    pub(super) reservation: Option<SlotReservation>,
    /// Transactions that may have written an attempt that was not sent.
    pub(super) unsent_ops: Vec<OpId>,
    /// Whether a row of this call was found or written, so that it may have run.
    pub(super) row_seen: bool,
    /// Version of the row whose attempt is proven not to have been started.
    pub(super) unstarted_version: Option<Version>,
    /// Outcome that is known and may not be written yet.
    pub(super) known_outcome: Option<(u32, Outcome)>,
}

impl Call {
    /// The id.
    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// When the caller must have an answer.
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

    /// The answer when the call is over.
    pub(super) fn done(&self, attempt: u32, endpoints: Vec<EndpointName>, outcome: Outcome) -> Progress {
        self.done_in_state(JobState::Ended, attempt, endpoints, outcome)
    }

    /// The answer when the time is up: an outcome that proves a run, or that nothing is known.
    pub(super) fn give_up(&self, reason: &str) -> Progress {
        if let Some((attempt, outcome @ (Outcome::Completed { .. } | Outcome::Failed { .. }))) = &self.known_outcome {
            return self.done(*attempt, Vec::new(), outcome.clone());
        }
        let reason = format!("{reason}. Ask again with the same id.");
        self.done_in_state(JobState::Running, 0, Vec::new(), Outcome::Unknown { reason })
    }

    /// Goes on to send an attempt that was just written.
    pub(super) fn set_send_stage(&mut self, stored: StoredJob) {
        self.row_seen = true;
        self.stage = match self.reservation.take() {
            Some(reservation) => Stage::Send { stored, reservation },
            None => Stage::ReadRow,
        };
    }

    /// Ends a call that was not sent in time.
    pub(super) fn end_at_deadline(&mut self, stored: StoredJob) {
        let outcome = Outcome::NotRun {
            reason: NotRunReason::Deadline,
            message: "The call's deadline passed before an endpoint started it.".to_owned(),
        };
        self.stage = Stage::WriteOutcome { stored, outcome };
    }
}

/// The endpoint and the sender in the row of a call that was sent.
pub(super) fn sent_phase(row: &JobRow) -> Option<(&EndpointName, u64, &InstanceName)> {
    match &row.phase {
        Phase::Sent { endpoint, boot, sender } => Some((endpoint, *boot, sender)),
        _ => None,
    }
}
