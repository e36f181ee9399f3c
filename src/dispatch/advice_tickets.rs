//! Tickets of the advice service for the tasks of a step.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::port::{OrderError, Refusal};

/// Pause of a step after its first failed call, in milliseconds; doubles with each further one.
const RETRY_PAUSE_MS: u64 = 500;

/// Most doublings of that pause.
const PAUSE_DOUBLINGS_MAX: u32 = 4;

/// Advice on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndpointAdvice {
    /// Incarnation of the endpoint.
    born: u64,
    /// The ticket; `None` if the endpoint may not run the step.
    ticket: Option<Arc<str>>,
    /// Until when a start with the ticket arrives before it expires, in milliseconds.
    usable_until: u64,
}

/// Tickets of one step of one occurrence, by endpoint. They are not stored: a new leader asks again.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AdviceTickets {
    known: BTreeMap<Arc<str>, EndpointAdvice>,
    /// Number of the latest call for it, if that has no answer.
    pub(super) call: Option<u64>,
    /// Earliest time of the next request, in milliseconds.
    pub next_request_at: u64,
    /// Number of calls in a row that have failed for a reason that may lie in the step.
    pub(super) failures: u32,
    /// Number of answers with tickets since a task of the step last started.
    pub unused_answers: u32,
}

impl AdviceTickets {
    /// Ticket for an incarnation of an endpoint with which a start may be sent at `now`.
    pub fn usable_ticket(&self, endpoint: &str, born: u64, now: u64) -> Option<&Arc<str>> {
        let advice = self.known.get(endpoint)?;
        advice
            .ticket
            .as_ref()
            .filter(|_| advice.born == born && advice.usable_until > now)
    }

    /// Whether the service has refused an endpoint. A refusal is final and holds for all incarnations.
    pub fn is_refused(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|advice| advice.ticket.is_none())
    }

    /// Whether the service has allowed an endpoint; the ticket may have expired.
    pub fn is_allowed(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|advice| advice.ticket.is_some())
    }

    /// Records the advice on an endpoint.
    pub fn set(&mut self, endpoint: Arc<str>, born: u64, ticket: Option<Arc<str>>, usable_until: u64) {
        self.known.insert(
            endpoint,
            EndpointAdvice {
                born,
                ticket,
                usable_until,
            },
        );
    }

    /// Notes that a call for the step has failed. The step waits unless the service has handled no call at all: one that is
    /// declined or disrupted again and again must not stand in the way of others.
    pub(super) fn failed(&mut self, error: &OrderError, now: u64) {
        let unhandled = matches!(
            error,
            OrderError::NotSent(_)
                | OrderError::Refused {
                    refusal: Refusal::Unwell,
                    ..
                }
        );
        if unhandled {
            return;
        }
        self.next_request_at = now + (RETRY_PAUSE_MS << self.failures.min(PAUSE_DOUBLINGS_MAX));
        self.failures += 1;
    }

    /// Makes the ticket for an endpoint invalid, after the endpoint refused it.
    pub fn expire(&mut self, endpoint: &str) {
        if let Some(advice) = self.known.get_mut(endpoint) {
            advice.usable_until = 0;
        }
    }
}
