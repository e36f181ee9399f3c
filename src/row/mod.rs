//! Keys of the table and the typed content of its rows.
//!
//! A job's row is [`crate::job::JobRow`]. Every other row has its type here, and every key is built here.

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
