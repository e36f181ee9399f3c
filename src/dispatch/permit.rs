//! Restriction of a unit to endpoints that the advice service allows.

use super::{AdviceTickets, EndpointView};

/// What a task needs from the advice service.
#[derive(Debug, Clone, Copy)]
pub(super) enum Permit<'a> {
    /// Nothing: the task may run on any endpoint.
    Unrestricted,
    /// A ticket that is usable at a time in milliseconds; `None` if no advice was requested yet.
    Ticket(Option<&'a AdviceTickets>, u64),
    /// A ticket, of which the advice service may yet give one for each endpoint that it has not refused.
    Prospect(Option<&'a AdviceTickets>),
}

impl<'a> Permit<'a> {
    /// Advice received so far.
    pub fn tickets(self) -> Option<&'a AdviceTickets> {
        match self {
            Self::Unrestricted => None,
            Self::Ticket(tickets, _) | Self::Prospect(tickets) => tickets,
        }
    }

    /// Whether a ticket is needed at all.
    pub fn needs_ticket(self) -> bool {
        !matches!(self, Self::Unrestricted)
    }

    /// Whether the task may run on an endpoint now.
    pub fn allows(self, view: &EndpointView) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Ticket(tickets, at) => {
                tickets.is_some_and(|tickets| tickets.usable_ticket(&view.name, view.born, at).is_some())
            }
            Self::Prospect(tickets) => !tickets.is_some_and(|tickets| tickets.is_refused(&view.name)),
        }
    }
}
