//! Result of a request.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use yuccaridge::job::Outcome;

use super::answer::check_answer;
use super::mix::{Request, RequestType};

/// Kind of a flaw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlawKind {
    /// The answer is not the expected one.
    Wrong,
    /// No final answer arrived within the timeout, including retries.
    Missing,
}

/// Result of a request.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// Name of the outcome, or `refused: ` and the error code.
    pub outcome: String,
    /// Time from when a batch job was due to its acceptance.
    pub accepted: Option<Duration>,
    /// Error message, if the request was refused.
    pub refusal: Option<String>,
    /// Flaw, if any.
    pub flaw: Option<(FlawKind, String)>,
}

impl RequestResult {
    /// Records the time of acceptance of a batch job, unless it is recorded already.
    pub(super) fn record_acceptance(&mut self, request: &Request, due: Instant) {
        if request.request_type == RequestType::Batch {
            self.accepted.get_or_insert_with(|| due.elapsed());
        }
    }

    /// Sets the name of the outcome.
    pub(super) fn with_outcome(mut self, outcome: &str) -> Self {
        outcome.clone_into(&mut self.outcome);
        self
    }

    /// Sets a refusal with this error code and message.
    pub(super) fn refused(mut self, code: &str, message: String) -> Self {
        self.refusal = Some(message);
        self.with_outcome(&format!("refused: {code}"))
    }

    /// Sets a wrong answer.
    pub(super) fn wrong<D>(mut self, detail: D) -> Self
    where
        D: Into<String>,
    {
        self.flaw = Some((FlawKind::Wrong, detail.into()));
        self.with_outcome("wrong")
    }

    /// Sets a missing answer.
    pub(super) fn missing<D>(mut self, detail: D) -> Self
    where
        D: Into<String>,
    {
        self.flaw = Some((FlawKind::Missing, detail.into()));
        self.with_outcome("missing")
    }

    /// Sets the outcome, with a flaw if a completed answer is not the expected one.
    pub(super) fn check_outcome(self, request: &Request, outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed { answer } => match check_answer(answer, request.id.as_str(), request.pieces) {
                Some(detail) => self.wrong(detail),
                None => self.with_outcome("completed"),
            },
            Outcome::Failed { .. } => self.with_outcome("failed"),
            Outcome::NotRun { .. } => self.with_outcome("not_run"),
            Outcome::Cancelled { .. } => self.with_outcome("cancelled"),
            Outcome::Unknown { .. } => self.with_outcome("unknown"),
        }
    }
}
