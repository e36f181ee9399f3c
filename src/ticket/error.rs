//! Why a ticket was not taken.

use thiserror::Error;

use crate::api::{ApiError, Code};
use crate::platform::{Key, TableError};

/// Fault in a ticket, in a sentence for the operator who sent it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidTicket {
    /// Not the JSON of a ticket.
    #[error("The ticket cannot be read: {0}. Correct it there and send it again.")]
    Unreadable(String),
    /// Body too large.
    #[error("The ticket has {0} bytes, which is too large. Split it into several tickets.")]
    TooLarge(usize),
    /// Number outside its range.
    #[error("The number {0} is not allowed. Use a number from 1 to {max}.", max = super::NUMBER_MAX)]
    Number(u64),
    /// An object or a reference is wrong.
    #[error("{0}")]
    Object(String),
    /// The guarantees do not fit the fleet.
    #[error(
        "The guarantees do not fit the fleet: {0}. Reduce a guarantee or add endpoints, then send the ticket again."
    )]
    Shortfall(String),
}

/// Reason why a ticket was not taken or not found, or that its fate is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The ticket is at fault.
    #[error(transparent)]
    Invalid(#[from] InvalidTicket),
    /// Same number, other content.
    #[error("Ticket {0} exists with other content. Send this content again under a new, higher number.")]
    Conflict(u64),
    /// A newer ticket is in force.
    #[error(
        "Ticket {number} was not taken because the newer ticket {head} is in force. Check that the content still \
         applies and send it again under a number above {head}."
    )]
    Superseded {
        /// Number sent.
        number: u64,
        /// Newest number.
        head: u64,
    },
    /// No such ticket.
    #[error("There is no ticket {0}.")]
    Absent(u64),
    /// No live session, so the newest configuration is not known here.
    #[error("The configuration cannot be changed here at the moment. Nothing was changed; send the ticket again.")]
    NoSession,
    /// The table failed; nothing was written.
    #[error(
        "The configuration cannot be read or written at the moment ({0}). Nothing was changed; send the ticket again."
    )]
    Table(TableError),
    /// The ticket may have been written.
    #[error("It is not known whether ticket {0} was taken. Send the same ticket again with the same number.")]
    Unknown(u64),
    /// The ticket is written, but the table cannot tell whether every instance uses it.
    #[error(
        "Ticket {0} was taken and will not be reverted, but it is not known yet whether it is in force \
         everywhere. Look it up again in a few seconds."
    )]
    Unconfirmed(u64),
    /// A row holds something else than expected.
    #[error("Row `{0}` of the configuration cannot be read. Ask the developers for help.")]
    Format(Key),
}

impl From<TicketError> for ApiError {
    fn from(error: TicketError) -> Self {
        let code = match &error {
            TicketError::Invalid(InvalidTicket::TooLarge(_)) => Code::TooLarge,
            TicketError::Invalid(InvalidTicket::Shortfall(_)) => Code::GuaranteeShortfall,
            TicketError::Invalid(_) => Code::BadRequest,
            TicketError::Conflict(_) => Code::TicketConflict,
            TicketError::Superseded { .. } => Code::TicketSuperseded,
            TicketError::Absent(_) => Code::NotFound,
            TicketError::Table(TableError::Limited) => Code::Busy,
            TicketError::NoSession | TicketError::Table(_) | TicketError::Format(_) => Code::Unavailable,
            TicketError::Unknown(_) | TicketError::Unconfirmed(_) => Code::Unknown,
        };
        Self::new(code, error.to_string())
    }
}
