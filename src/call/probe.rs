//! Asks an endpoint what became of an attempt.

use super::stage::sent;
use super::{Assembly, CallController};
use crate::job::{JobRow, Outcome};
use crate::platform::{EndpointError, Refusal};

/// What is known of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Verdict {
    /// It was not started and never will be.
    Unstarted,
    /// It ran.
    Ended(Outcome),
    /// It runs.
    Running,
    /// The endpoint has restarted and cannot know; it will not start the attempt any more.
    Forgotten,
    /// The endpoint does not answer.
    Silent,
    /// The endpoint is not known any more.
    Gone,
}

impl CallController {
    /// Asks the endpoint never to start the attempt in the row.
    pub(super) fn probe(&self, row: &JobRow) -> Verdict {
        let Some((endpoint, boot, _)) = sent(row) else {
            return Verdict::Silent;
        };
        let endpoints = self.member.endpoints();
        let Some(known) = endpoints.get(endpoint) else {
            return if endpoints.is_empty() {
                Verdict::Silent
            } else {
                Verdict::Gone
            };
        };
        let address = known.listed.address;
        match self.endpoints.refuse(address, &row.id, row.attempt) {
            Ok(Refusal::Running) => Verdict::Running,
            Ok(Refusal::Ended { parts }) => {
                let reason = "The call ran, but the endpoint did not keep its whole answer.".to_owned();
                let outcome = Assembly::outcome_of(&row.id, row.attempt, parts);
                Verdict::Ended(outcome.unwrap_or(Outcome::Failed { reason }))
            }
            // The boot is asked after the refusal: if it is still the one that the call was meant for, then so was the
            // one that refused.
            Ok(Refusal::Refused) => match self.ask_boot(endpoint, address) {
                Ok(now) if now == boot => Verdict::Unstarted,
                Ok(_) => Verdict::Forgotten,
                Err(_) => Verdict::Silent,
            },
            Err(
                EndpointError::Lost(_) | EndpointError::Unreached(_) | EndpointError::Full | EndpointError::Refused,
            ) => Verdict::Silent,
        }
    }
}
