//! Counts of starts and ends for the metrics.

use std::collections::BTreeMap;
use std::time::Duration;

/// Numbers of started units and ended runs.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts {
    /// Units that were placed.
    pub starts: u64,
    /// Claims that were made for urgent units.
    pub claims_made: u64,
    /// Units that were stopped for an urgent one although an earlier run had been given up, too.
    pub repeated_stops: u64,
    /// Claims that were dropped because they could not be met in time.
    pub claims_dropped: u64,
    /// Times from requests for advice to their answers.
    pub advice_times: Vec<Duration>,
    /// Requests for advice that failed or had no answer in time.
    pub advice_failed: u64,
    /// Answers with tickets after which advice on the step was requested again before any of its tasks started.
    pub advice_unused: u64,
    /// Starts that endpoints refused because of their ticket.
    pub tickets_refused: u64,
    /// Runs that ended: `done`, or by the reason for which they were stopped.
    pub ends: BTreeMap<String, u64>,
    /// Ends `done` that matched no expected run, by the reason.
    pub unmatched_done: BTreeMap<&'static str, u64>,
}

impl Counts {
    /// Counts an end `done` that matches no expected run.
    pub fn add_unmatched_done(&mut self, reason: &'static str) {
        *self.unmatched_done.entry(reason).or_default() += 1;
    }

    /// Counts the end of a run.
    pub fn add_end(&mut self, reason: &str) {
        match self.ends.get_mut(reason) {
            Some(count) => *count += 1,
            None => {
                self.ends.insert(reason.to_owned(), 1);
            }
        }
    }
}
