//! Asks an endpoint what became of an attempt.

use super::stage::sent_phase;
use super::{Assembly, CallController};
use crate::job::{JobRow, Outcome};
use crate::platform::{EndpointError, Refusal};

/// What is known of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ProbeResult {
    /// It was not started and never will be.
    Unstarted,
    /// It ran.
    Ended(Outcome),
    /// It runs.
    Running,
    /// The endpoint has restarted and cannot know; it will not start the attempt any more.
    Restarted,
    /// The endpoint does not answer.
    Undetermined,
    /// The endpoint is not known any more.
    Delisted,
}

impl CallController {
    /// Asks the endpoint never to start the attempt in the row.
    pub(super) fn probe_attempt(&self, row: &JobRow) -> ProbeResult {
        let Some((endpoint, boot, _)) = sent_phase(row) else {
            return ProbeResult::Undetermined;
        };
        let endpoints = self.member.endpoints();
        let Some(known) = endpoints.get(endpoint) else {
            return if endpoints.is_empty() {
                ProbeResult::Undetermined
            } else {
                ProbeResult::Delisted
            };
        };
        let address = known.listed.address;
        match self.endpoints.refuse(address, &row.id, row.attempt) {
            Ok(Refusal::Running) => ProbeResult::Running,
            Ok(Refusal::Ended { parts }) => {
                let reason = "The call ran, but the endpoint did not keep its whole answer.".to_owned();
                let outcome = Assembly::outcome_of(&row.id, row.attempt, parts);
                ProbeResult::Ended(outcome.unwrap_or(Outcome::Failed { reason }))
            }
            // The boot is asked after the refusal: if it is still the one that the call was meant for, then so was the
            // one that refused.
            Ok(Refusal::Refused) => match self.fetch_boot(endpoint, address) {
                Ok(current) if current == boot => ProbeResult::Unstarted,
                Ok(_) => ProbeResult::Restarted,
                Err(_) => ProbeResult::Undetermined,
            },
            Err(
                EndpointError::Lost(_) | EndpointError::Unreached(_) | EndpointError::Full | EndpointError::Refused,
            ) => ProbeResult::Undetermined,
        }
    }
}
