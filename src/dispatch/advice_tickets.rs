//! Tickets for the tasks of a step.

use std::collections::BTreeMap;
use std::sync::Arc;

/// What is known of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ticket {
    /// Life of the endpoint.
    born: u64,
    /// The ticket; `None` if the endpoint may not run the step.
    text: Option<Arc<str>>,
    /// When it is no longer valid, in milliseconds.
    until: u64,
}

/// Tickets of one step of one occurrence, by endpoint. They are not stored: a new leader asks again.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Tickets {
    known: BTreeMap<Arc<str>, Ticket>,
    /// A question is under way.
    pub asking: bool,
    /// No question before this time, in milliseconds.
    pub next: u64,
}

impl Tickets {
    /// Ticket for a life of an endpoint that is valid at `now`.
    pub fn valid(&self, endpoint: &str, born: u64, now: u64) -> Option<&Arc<str>> {
        let ticket = self.known.get(endpoint)?;
        ticket
            .text
            .as_ref()
            .filter(|_| ticket.born == born && ticket.until > now)
    }

    /// Whether the service has refused an endpoint. It does not change its mind, whatever the life.
    pub fn is_refused(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|ticket| ticket.text.is_none())
    }

    /// Whether the service has allowed an endpoint, with a ticket that may have passed.
    pub fn is_allowed(&self, endpoint: &str) -> bool {
        self.known.get(endpoint).is_some_and(|ticket| ticket.text.is_some())
    }

    /// Takes an answer about an endpoint.
    pub fn learn(&mut self, endpoint: Arc<str>, born: u64, text: Option<Arc<str>>, until: u64) {
        self.known.insert(endpoint, Ticket { born, text, until });
    }

    /// The ticket of an endpoint was refused.
    pub fn expire(&mut self, endpoint: &str) {
        if let Some(ticket) = self.known.get_mut(endpoint) {
            ticket.until = 0;
        }
    }
}
