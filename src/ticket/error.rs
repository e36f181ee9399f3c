//! Errors of change tickets.

use thiserror::Error;

use crate::api::{ApiError, Code};
use crate::platform::{Key, TableError};

/// Fault in a ticket; the texts are sentences for the operator who sent it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidTicket {
    /// The body is not a ticket in JSON.
    #[error("The ticket cannot be parsed: {0}. Correct it and send it again.")]
    Unreadable(String),
    /// The body is larger than allowed; its size in bytes.
    #[error(
        "The ticket has {0} bytes, but at most {max} are allowed. Split it into several tickets.",
        max = super::BODY_BYTES_MAX
    )]
    TooLarge(usize),
    /// The number is out of range.
    #[error("The ticket number {0} is not allowed. Use a number from 1 to {max}.", max = super::NUMBER_MAX)]
    Number(u64),
    /// An object has a value that is not allowed, or refers to an object that does not exist.
    #[error("{0}")]
    Object(String),
    /// The guarantees do not fit the fleet.
    #[error(
        "The guarantees do not fit the fleet: {0}. Reduce a guarantee or add endpoints, then send the ticket again."
    )]
    Shortfall(String),
}

/// Reason why a ticket was not committed, was not found, or is in an unknown state.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The ticket is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidTicket),
    /// A ticket with this number and other content exists.
    #[error("Ticket {0} already exists with other content. Send this content under a new, higher number.")]
    Conflict(u64),
    /// A ticket with a higher number was committed before.
    #[error(
        "Ticket {number} was rejected because the newer ticket {head} has been committed. Check that the content \
         still applies and send it again under a number above {head}."
    )]
    Superseded {
        /// Number of the rejected ticket.
        number: u64,
        /// Number of the newest ticket.
        head: u64,
    },
    /// No such ticket.
    #[error("There is no ticket {0}.")]
    Absent(u64),
    /// No live session, or the head changed during every attempt, so this instance does not know the newest
    /// configuration.
    #[error("This instance cannot change the configuration at the moment. Nothing was changed; send the ticket again.")]
    NoSession,
    /// The table failed and nothing was written.
    #[error(
        "The configuration cannot be read or written at the moment ({0}). Nothing was changed; send the ticket again."
    )]
    Table(TableError),
    /// The ticket may have been committed.
    #[error("It is unknown whether ticket {0} was committed. Send the same ticket again with the same number.")]
    Unknown(u64),
    /// The ticket is committed, but a table error left it unknown whether every instance uses it.
    #[error(
        "Ticket {0} was committed and will not be reverted, but it is unknown whether it is in force everywhere. \
         Look it up again in a few seconds."
    )]
    Unconfirmed(u64),
    /// A row's value cannot be decoded.
    #[error("Row `{0}` of the configuration cannot be decoded. Ask the developers for help.")]
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
