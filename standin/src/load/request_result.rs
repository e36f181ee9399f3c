//! How a request ended.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use yuccaridge::job::Outcome;

use super::answer::check_answer;
use super::mix::{Request, Sort};

/// Sort of a flaw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlawSort {
    /// An answer came and is not the right one.
    Wrong,
    /// No answer came, not even after asking again.
    Missing,
}

/// How a request ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Ending {
    /// Name of the outcome or of the refusal's code.
    pub outcome: String,
    /// Time from when it was due to when a batch job was accepted.
    pub accepted: Option<Duration>,
    /// Sentence of a refusal, if it was refused.
    pub refusal: Option<String>,
    /// What was wrong, if anything was.
    pub flaw: Option<(FlawSort, String)>,
}

impl Ending {
    /// Notes that a request is accepted by now.
    pub(super) fn accept(&mut self, request: &Request, due: Instant) {
        if request.sort == Sort::Batch {
            self.accepted.get_or_insert_with(|| due.elapsed());
        }
    }

    /// Ended in this way.
    pub(super) fn named(mut self, outcome: &str) -> Self {
        outcome.clone_into(&mut self.outcome);
        self
    }

    /// Was refused, with this code and sentence.
    pub(super) fn refused(mut self, code: &str, sentence: String) -> Self {
        self.refusal = Some(sentence);
        self.named(&format!("refused: {code}"))
    }

    /// Ended with a wrong answer.
    pub(super) fn wrong<D>(mut self, detail: D) -> Self
    where
        D: Into<String>,
    {
        self.flaw = Some((FlawSort::Wrong, detail.into()));
        self.named("wrong")
    }

    /// Has not ended as far as can be told.
    pub(super) fn missing<D>(mut self, detail: D) -> Self
    where
        D: Into<String>,
    {
        self.flaw = Some((FlawSort::Missing, detail.into()));
        self.named("missing")
    }

    /// Ended with this outcome.
    pub(super) fn judge(self, request: &Request, outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed { answer } => match check_answer(answer, request.id.as_str(), request.pieces) {
                Some(detail) => self.wrong(detail),
                None => self.named("completed"),
            },
            Outcome::Failed { .. } => self.named("failed"),
            Outcome::NotRun { .. } => self.named("not_run"),
            Outcome::Cancelled { .. } => self.named("cancelled"),
            Outcome::Unknown { .. } => self.named("unknown"),
        }
    }
}
