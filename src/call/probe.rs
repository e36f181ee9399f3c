//! Asks an endpoint whether an attempt ran.

use super::stage::sent_phase;
use super::{Assembly, CallController};
use crate::job::{JobRow, Outcome};
use crate::platform::{EndpointError, Refusal};

/// State of an attempt, as far as its endpoint can tell.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ProbeResult {
    /// The attempt was not started and never will be.
    Unstarted,
    /// The attempt ran.
    Ended(Outcome),
    /// The attempt is running.
    Running,
    /// The endpoint has restarted and cannot tell; it will not start the attempt.
    Restarted,
    /// The endpoint does not answer, or no endpoints are known at present.
    Undetermined,
    /// The endpoint is no longer listed.
    Delisted,
}

impl CallController {
    /// Asks the endpoint never to start the attempt in the row, which also tells whether it was started.
    pub(super) fn probe_attempt(&self, row: &JobRow) -> ProbeResult {
        let Some((endpoint, boot, _)) = sent_phase(row) else {
            return ProbeResult::Undetermined;
        };
        let endpoints = self.membership.endpoints();
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
            // The boot is requested after the refusal: if it is still the boot that the call was sent to, the refusal
            // came from that boot too.
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
