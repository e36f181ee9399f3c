//! What happened, for metrics.

use std::collections::BTreeMap;

/// Starts that were decided and ends of runs.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts {
    /// Units that were placed.
    pub starts: u64,
    /// Runs that ended, by outcome, or by the reason for which they were stopped.
    pub ends: BTreeMap<String, u64>,
}

impl Counts {
    /// Counts the end of a run.
    pub fn ended(&mut self, reason: &str) {
        match self.ends.get_mut(reason) {
            Some(count) => *count += 1,
            None => {
                self.ends.insert(reason.to_owned(), 1);
            }
        }
    }
}
