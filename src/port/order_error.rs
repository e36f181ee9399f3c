//! Failures of orders.

use thiserror::Error;

/// Why an endpoint refuses an order; nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fence,
    /// A run of this number or a higher one has been stopped or has ended there.
    Old,
    /// The lease in the order had passed.
    Late,
    /// No room.
    Room,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// Another life of the endpoint answered.
    Reborn,
    /// The endpoint says that it is not well or overloaded.
    Unwell,
    /// The order itself is wrong.
    Bad,
    /// Any other reason.
    Other,
}

/// Failure of an order.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The endpoint refused; nothing was done.
    #[error("refused: {refusal:?}")]
    Refused {
        /// Why.
        refusal: Refusal,
        /// Clock of the endpoint, in milliseconds, if it was told.
        clock_ms: Option<u64>,
    },
    /// The connection could not be opened, so the order was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No answer; the order may have been carried out, or may be later.
    #[error("no answer: {0}")]
    Unknown(String),
}
