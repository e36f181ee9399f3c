//! Change tickets: what they contain, their checks, and the controller that brings them into force.
//!
//! A ticket holds the complete new state of each object that it touches. [`Ticket::apply`] is pure: it makes the new
//! catalog or says in a sentence for an operator why it cannot. [`TicketController`] writes the head, the log row and the
//! configuration rows in one transaction, then waits until every session row has the number or has lapsed, and only
//! then writes the ticket as accepted. A session row that appears later has the number already, because a session can
//! only be written together with a check of the head. A written ticket is never reverted: if the instance that took it
//! dies, any other instance finishes it.

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

/// Greatest number. Numbers only grow, so a mistyped huge number would otherwise block all tickets after it.
pub const NUMBER_MAX: u64 = 999_999_999_999;
/// Largest body, in bytes.
pub const BODY_BYTES_MAX: usize = 1024 * 1024;
