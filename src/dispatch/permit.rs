//! Whether the advice service lets a task run on an endpoint.

use super::{Site, Tickets};

/// What a task needs of the advice service.
#[derive(Debug, Clone, Copy)]
pub(super) enum Permit<'a> {
    /// Nothing: it may run anywhere.
    Free,
    /// A ticket that is valid at a time in milliseconds; `None` if nothing was asked yet.
    Ticket(Option<&'a Tickets>, u64),
}

impl<'a> Permit<'a> {
    /// What the service has said so far.
    pub fn tickets(self) -> Option<&'a Tickets> {
        match self {
            Self::Free => None,
            Self::Ticket(tickets, _) => tickets,
        }
    }

    /// Whether a ticket is needed at all.
    pub fn is_needed(self) -> bool {
        matches!(self, Self::Ticket(..))
    }

    /// Whether the task may run on a site now.
    pub fn allows(self, site: &Site) -> bool {
        match self {
            Self::Free => true,
            Self::Ticket(tickets, at) => {
                tickets.is_some_and(|tickets| tickets.valid(&site.name, site.born, at).is_some())
            }
        }
    }
}
