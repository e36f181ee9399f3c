//! Whether the advice service lets a task run on an endpoint.

use super::{AdviceTickets, EndpointView};

/// What a task needs of the advice service.
#[derive(Debug, Clone, Copy)]
pub(super) enum Permit<'a> {
    /// Nothing: it may run anywhere.
    Unrestricted,
    /// A ticket that is valid at a time in milliseconds; `None` if nothing was asked yet.
    Ticket(Option<&'a AdviceTickets>, u64),
}

impl<'a> Permit<'a> {
    /// What the service has said so far.
    pub fn tickets(self) -> Option<&'a AdviceTickets> {
        match self {
            Self::Unrestricted => None,
            Self::Ticket(tickets, _) => tickets,
        }
    }

    /// Whether a ticket is needed at all.
    pub fn needs_ticket(self) -> bool {
        matches!(self, Self::Ticket(..))
    }

    /// Whether the task may run on a site now.
    pub fn allows(self, view: &EndpointView) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Ticket(tickets, at) => {
                tickets.is_some_and(|tickets| tickets.valid_ticket(&view.name, view.born, at).is_some())
            }
        }
    }
}
