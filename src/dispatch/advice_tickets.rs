//! Tickets for the tasks of a step.

use std::collections::BTreeMap;
use std::sync::Arc;

/// What is known of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndpointAdvice {
    /// Life of the endpoint.
    born: u64,
    /// The ticket; `None` if the endpoint may not run the step.
    ticket: Option<Arc<str>>,
    /// When it is no longer valid, in milliseconds.
    valid_until: u64,
}

/// Tickets of one step of one occurrence, by endpoint. They are not stored: a new leader asks again.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AdviceTickets {
    known: BTreeMap<Arc<str>, EndpointAdvice>,
    /// A question is under way.
    pub in_flight: bool,
    /// No question before this time, in milliseconds.
    pub next_request_at: u64,
}

impl AdviceTickets {
    /// Ticket for a life of an endpoint that is valid at `now`.
    pub fn valid_ticket(&self, endpoint: &str, born: u64, now: u64) -> Option<&Arc<str>> {
        let advice = self.known.get(endpoint)?;
        advice
            .ticket
            .as_ref()
            .filter(|_| advice.born == born && advice.valid_until > now)
    }

    /// Whether the service has refused an endpoint. It does not change its mind, whatever the life.
    pub fn is_refused(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|advice| advice.ticket.is_none())
    }

    /// Whether the service has allowed an endpoint, with a ticket that may have passed.
    pub fn is_allowed(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|advice| advice.ticket.is_some())
    }

    /// Takes an answer about an endpoint.
    pub fn set(&mut self, endpoint: Arc<str>, born: u64, ticket: Option<Arc<str>>, valid_until: u64) {
        self.known.insert(
            endpoint,
            EndpointAdvice {
                born,
                ticket,
                valid_until,
            },
        );
    }

    /// The ticket of an endpoint was refused.
    pub fn expire(&mut self, endpoint: &str) {
        if let Some(advice) = self.known.get_mut(endpoint) {
            advice.valid_until = 0;
        }
    }
}
