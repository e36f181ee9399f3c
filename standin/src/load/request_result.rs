//! How a request ended.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use yuccaridge::job::Outcome;

use super::answer::check_answer;
use super::mix::{Request, RequestType};

/// Sort of a flaw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlawKind {
    /// An answer came and is not the right one.
    Wrong,
    /// No answer came, not even after asking again.
    Missing,
}

/// How a request ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// Name of the outcome or of the refusal's code.
    pub outcome: String,
    /// Time from when it was due to when a batch job was accepted.
    pub accepted: Option<Duration>,
    /// Sentence of a refusal, if it was refused.
    pub refusal: Option<String>,
    /// What was wrong, if anything was.
    pub flaw: Option<(FlawKind, String)>,
}

impl RequestResult {
    /// Notes that a request is accepted by now.
    pub(super) fn record_acceptance(&mut self, request: &Request, due: Instant) {
        if request.request_type == RequestType::Batch {
            self.accepted.get_or_insert_with(|| due.elapsed());
        }
    }

    /// Ended in this way.
    pub(super) fn with_outcome(mut self, outcome: &str) -> Self {
        outcome.clone_into(&mut self.outcome);
        self
    }

    /// Was refused, with this code and sentence.
    pub(super) fn refused(mut self, code: &str, message: String) -> Self {
        self.refusal = Some(message);
        self.with_outcome(&format!("refused: {code}"))
    }

    /// Ended with a wrong answer.
    pub(super) fn wrong<D>(mut self, detail: D) -> Self
    where
        D: Into<String>,
    {
        self.flaw = Some((FlawKind::Wrong, detail.into()));
        self.with_outcome("wrong")
    }

    /// Has not ended as far as can be told.
    pub(super) fn missing<D>(mut self, detail: D) -> Self
    where
        D: Into<String>,
    {
        self.flaw = Some((FlawKind::Missing, detail.into()));
        self.with_outcome("missing")
    }

    /// Ended with this outcome.
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
