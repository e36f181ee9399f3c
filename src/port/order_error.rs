//! Failures of orders.

use thiserror::Error;

/// Reason why an endpoint refused an order; nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The endpoint has seen a higher fencing token.
    Fence,
    /// A run of the task with this number or a higher one has been stopped or has ended on the endpoint.
    Old,
    /// The lease in the order has expired.
    Late,
    /// The resources of the endpoint do not suffice.
    Room,
    /// The ticket of the advice service is missing or no longer valid.
    Ticket,
    /// Another incarnation of the endpoint answered.
    Reborn,
    /// The endpoint reports that it is unhealthy or overloaded.
    Unwell,
    /// The order is invalid.
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
        /// Reason.
        refusal: Refusal,
        /// Clock of the endpoint, in milliseconds, if the answer contains it.
        clock_ms: Option<u64>,
    },
    /// The connection could not be opened, so the order was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No answer was received; the order may have been carried out or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
}
