//! What became of the requests so far.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use yuccaridge::name::JobId;

use super::mix::Sort;
use super::request_result::{Ending, FlawSort};

/// Significant digits of the times.
const DIGITS: u8 = 3;
/// Longest time that is told apart from longer ones, in microseconds: one day.
const MICROS_MAX: u64 = 24 * 3_600 * 1_000_000;
/// Flaws that are kept with their details; all are counted.
const FLAWS_KEPT: usize = 20;

/// Something wrong with a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flaw {
    /// The request.
    pub id: JobId,
    /// Wrong or missing.
    pub sort: FlawSort,
    /// For a person.
    pub detail: String,
}

/// Counts and times, in microseconds, of one sort of request.
#[derive(Debug)]
pub(super) struct SortTally {
    pub outcomes: BTreeMap<String, u64>,
    pub completed: Histogram<u64>,
    pub accepted: Histogram<u64>,
}

impl Default for SortTally {
    fn default() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            completed: times(),
            accepted: times(),
        }
    }
}

/// Counts and times.
#[derive(Debug)]
pub(super) struct Tally {
    pub sorts: BTreeMap<Sort, SortTally>,
    pub flaws: Vec<Flaw>,
    pub flaw_counts: BTreeMap<FlawSort, u64>,
    /// First sentence of each refusal.
    pub refusals: BTreeMap<String, String>,
    pub ended: u64,
    /// Times of the requests that completed since they were last taken.
    pub recent: Histogram<u64>,
}

impl Tally {
    pub fn new() -> Self {
        Self {
            sorts: BTreeMap::new(),
            flaws: Vec::new(),
            flaw_counts: BTreeMap::new(),
            refusals: BTreeMap::new(),
            ended: 0,
            recent: times(),
        }
    }

    /// Adds a request that ended this long after it was due.
    pub fn add(&mut self, id: &JobId, sort: Sort, took: Duration, ending: Ending) {
        self.ended += 1;
        let tally = self.sorts.entry(sort).or_default();
        if ending.outcome == "completed" {
            tally.completed.saturating_record(micros(took));
            self.recent.saturating_record(micros(took));
        }
        if let Some(accepted) = ending.accepted {
            tally.accepted.saturating_record(micros(accepted));
        }
        if let Some(sentence) = ending.refusal {
            self.refusals.entry(ending.outcome.clone()).or_insert(sentence);
        }
        *tally.outcomes.entry(ending.outcome).or_default() += 1;
        let Some((sort, detail)) = ending.flaw else { return };
        *self.flaw_counts.entry(sort).or_default() += 1;
        if self.flaws.len() < FLAWS_KEPT {
            let id = id.clone();
            self.flaws.push(Flaw { id, sort, detail });
        }
    }
}

/// An empty histogram of times in microseconds.
pub(super) fn times() -> Histogram<u64> {
    Histogram::new_with_max(MICROS_MAX, DIGITS).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
