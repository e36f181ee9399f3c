//! Keys and typed contents of the table's rows.
//!
//! The row of a job is [`crate::job::JobRow`]. The types of all other rows and the construction of all keys are in this
//! module.

mod commit;
mod digest;
mod endpoint;
pub mod key;
mod op;
mod pool;
mod session;
mod ticket;

pub use commit::{commit, scan_all};
pub use digest::digest;
pub use endpoint::{EndpointRow, HeldSeat};
pub use op::OpIds;
pub use pool::PoolRow;
pub use session::SessionRow;
pub use ticket::{ConfigObjectRow, TicketHeadRow, TicketLogRow, TicketState};
