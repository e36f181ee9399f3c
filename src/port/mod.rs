//! What the scheduler needs from the outside.
//!
//! A site provides a store of rows with conditional transactions and a feed of changes ([`Rows`]), a way to give orders to
//! endpoints ([`Orders`]), and a reading of the rows that its operators and endpoints write ([`Entries`]). Each is a trait,
//! so that tests run without a network. None of them decides anything: retries, timeouts of a whole operation and the
//! meaning of an unknown outcome belong to the callers.

mod advice;
mod change;
mod commit;
mod endpoint_entry;
mod entries;
mod order_error;
mod orders;
mod policy;
mod queue;
mod report;
mod room;
mod row;
mod rows;
mod start_order;
mod store_error;
mod team_entry;

pub use advice::{Advice, AdviceTerms, Question};
pub use change::{Changes, Page, Range};
pub use commit::Commit;
pub use endpoint_entry::EndpointEntry;
pub use entries::Entries;
pub use order_error::{OrderError, Refusal};
pub use orders::{HoldOrder, Orders, StopOrder, Target};
pub use policy::{HttpLimits, Policy, Pool};
pub use queue::Queue;
pub use report::{End, Outcome, Report, Running};
pub use room::Room;
pub use row::{Row, RowKey};
pub use rows::Rows;
pub use start_order::StartOrder;
pub use store_error::StoreError;
pub use team_entry::Team;
