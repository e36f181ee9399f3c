//! One call and how far it has come.

use super::guard::{Flight, Reserved};
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

pub(super) type Received = Result<Vec<CallPart>, EndpointError>;

#[derive(Debug)]
pub(super) enum Stage {
    /// Idempotent: to be sent.
    Try,
    /// Idempotent: something came back.
    Tried { reserved: Reserved, received: Received },
    /// The row is to be read.
    Look,
    /// The row names this attempt, which was not sent.
    Send { stored: StoredJob, reserved: Reserved },
    /// Something came back for the attempt in the row.
    Judge {
        stored: StoredJob,
        reserved: Reserved,
        received: Received,
    },
    /// The attempt in the row may have been started.
    Doubt { stored: StoredJob },
    /// The outcome is known and to be written.
    Close { stored: StoredJob, outcome: Outcome },
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
    pub(super) base: u32,
    /// Whether an attempt of an idempotent call may have run.
    pub(super) lost: bool,
    pub(super) flight: Option<Flight>,
    /// Slot for the attempt that is being written.
    pub(super) reserved: Option<Reserved>,
    /// Transactions that may have written an attempt that was not sent.
    pub(super) opened: Vec<OpId>,
    /// Whether a row of this call was found or written, so that it may have run.
    pub(super) found: bool,
    /// Version of the row whose attempt is proven not to have been started.
    pub(super) unstarted: Option<Version>,
    /// Outcome that is known and may not be written yet.
    pub(super) known: Option<(u32, Outcome)>,
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

    pub(super) fn is_late(&self, now: Millis) -> bool {
        now >= self.deadline
    }

    fn answer(&self, state: JobState, attempt: u32, endpoints: Vec<EndpointName>, outcome: Outcome) -> Progress {
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
        self.answer(JobState::Ended, attempt, endpoints, outcome)
    }

    /// The answer when the time is up: an outcome that proves a run, or that nothing is known.
    pub(super) fn give_up(&self, reason: &str) -> Progress {
        if let Some((attempt, outcome @ (Outcome::Completed { .. } | Outcome::Failed { .. }))) = &self.known {
            return self.done(*attempt, Vec::new(), outcome.clone());
        }
        let reason = format!("{reason}. Ask again with the same id.");
        self.answer(JobState::Running, 0, Vec::new(), Outcome::Unknown { reason })
    }

    /// Goes on to send an attempt that was just written.
    pub(super) fn set_send(&mut self, stored: StoredJob) {
        self.found = true;
        self.stage = match self.reserved.take() {
            Some(reserved) => Stage::Send { stored, reserved },
            None => Stage::Look,
        };
    }

    /// Ends a call that was not sent in time.
    pub(super) fn set_late(&mut self, stored: StoredJob) {
        let outcome = Outcome::NotRun {
            reason: NotRunReason::Deadline,
            message: "The call's deadline passed before an endpoint started it.".to_owned(),
        };
        self.stage = Stage::Close { stored, outcome };
    }
}

/// The endpoint and the sender in the row of a call that was sent.
pub(super) fn sent(row: &JobRow) -> Option<(&EndpointName, u64, &InstanceName)> {
    match &row.phase {
        Phase::Sent { endpoint, boot, sender } => Some((endpoint, *boot, sender)),
        _ => None,
    }
}
