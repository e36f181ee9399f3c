//! Running totals of the results.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use yuccaridge::name::JobId;

use super::mix::RequestType;
use super::request_result::{FlawKind, RequestResult};

/// Significant digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum recorded time, one day; longer ones count as this.
const MAX_TIME_US: u64 = 24 * 3_600 * 1_000_000;
/// Number of flaws kept with their details; all flaws are counted.
const MAX_DETAILED_FLAWS: usize = 20;

/// Wrong or missing answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flaw {
    /// Job id of the request.
    pub id: JobId,
    /// Kind of flaw.
    #[serde(rename = "sort")]
    pub kind: FlawKind,
    /// Description.
    pub detail: String,
}

/// Counts and times, in microseconds, for one type of request.
#[derive(Debug)]
pub(super) struct TypeTally {
    pub outcomes: BTreeMap<String, u64>,
    pub completed: Histogram<u64>,
    pub accepted: Histogram<u64>,
}

impl Default for TypeTally {
    fn default() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            completed: time_histogram(),
            accepted: time_histogram(),
        }
    }
}

/// Totals of all results.
#[derive(Debug)]
pub(super) struct Tally {
    pub by_type: BTreeMap<RequestType, TypeTally>,
    pub flaws: Vec<Flaw>,
    pub flaw_counts: BTreeMap<FlawKind, u64>,
    /// Message of the first refusal with each error code.
    pub refusals: BTreeMap<String, String>,
    pub ended: u64,
    /// Latencies of the requests completed since the last progress report, which resets them.
    pub recent: Histogram<u64>,
}

impl Tally {
    pub fn new() -> Self {
        Self {
            by_type: BTreeMap::new(),
            flaws: Vec::new(),
            flaw_counts: BTreeMap::new(),
            refusals: BTreeMap::new(),
            ended: 0,
            recent: time_histogram(),
        }
    }

    /// Adds the result of a request that ended this long after it was due.
    pub fn add(&mut self, id: &JobId, request_type: RequestType, elapsed: Duration, result: RequestResult) {
        self.ended += 1;
        let tally = self.by_type.entry(request_type).or_default();
        if result.outcome == "completed" {
            tally.completed.saturating_record(micros(elapsed));
            self.recent.saturating_record(micros(elapsed));
        }
        if let Some(accepted) = result.accepted {
            tally.accepted.saturating_record(micros(accepted));
        }
        if let Some(message) = result.refusal {
            self.refusals.entry(result.outcome.clone()).or_insert(message);
        }
        *tally.outcomes.entry(result.outcome).or_default() += 1;
        let Some((kind, detail)) = result.flaw else { return };
        *self.flaw_counts.entry(kind).or_default() += 1;
        if self.flaws.len() < MAX_DETAILED_FLAWS {
            let id = id.clone();
            self.flaws.push(Flaw { id, kind, detail });
        }
    }
}

/// Creates an empty histogram of times in microseconds.
pub(super) fn time_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
