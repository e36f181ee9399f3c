//! What is done for an urgent unit that does not fit.

use super::preempt::ClaimPlan;

/// How an urgent unit that fits on no fast endpoint gets its place.
#[derive(Debug)]
pub(super) enum UrgentChoice {
    /// Other units are stopped for it.
    Claim(ClaimPlan),
    /// It starts on these endpoints, some of which are slow.
    Start(Vec<usize>),
}
