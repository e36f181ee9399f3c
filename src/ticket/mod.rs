//! Change tickets: their content, their validation, and the controller that commits them.
//!
//! A ticket holds the complete new state of each object that it changes. [`Ticket::apply`] is pure: it returns the new
//! catalog, or an error for the operator. [`TicketController`] commits a ticket in two steps. One transaction writes
//! the head, the log row (as pending) and the configuration rows. Once every session row shows this number or a higher
//! one, or has lapsed, the log row is marked as accepted. A session row that is written later has the number already,
//! because every write of a session row checks the head. A committed ticket is never reverted: if the instance that
//! committed it dies, any other instance marks it as accepted.

mod body;
mod capacity_check;
mod check;
mod controller;
mod error;
mod log;

pub use body::{Changes, Ticket};
pub use capacity_check::{CapacityCheck, NoCapacityCheck};
pub use controller::TicketController;
pub use error::{InvalidTicket, TicketError};

/// Highest ticket number. Numbers must increase, so without a bound a mistyped huge number would block all later
/// tickets.
pub const NUMBER_MAX: u64 = 999_999_999_999;
/// Maximum size of a ticket's body, in bytes.
pub const BODY_BYTES_MAX: usize = 1024 * 1024;
