//! What the scheduler needs from the outside.
//!
//! A site provides a store of rows with conditional transactions and a feed of changes ([`Rows`]), a way to give orders to
//! endpoints ([`Orders`]), and a reading of the rows that its operators and endpoints write ([`Entries`]). Each is a trait,
//! so that tests run without a network. None of them decides anything: retries, timeouts of a whole operation and the
//! meaning of an unknown outcome belong to the callers.

mod advice;
mod commit;
mod endpoint_entry;
mod entry_decoder;
mod order_error;
mod orders;
mod queue;
mod read;
mod report;
mod resources;
mod row;
mod row_store;
mod site_config;
mod start_order;
mod store_error;
mod team;

pub use advice::{Advice, AdviceTerms, Question};
pub use commit::Commit;
pub use endpoint_entry::EndpointEntry;
pub use entry_decoder::Entries;
pub use order_error::{OrderError, Refusal};
pub use orders::{HoldOrder, Orders, StopOrder, Target};
pub use queue::Queue;
pub use read::{Changes, Page, Range};
pub use report::{End, Outcome, Report, Running};
pub use resources::Room;
pub use row::{Row, RowKey};
pub use row_store::Rows;
pub use site_config::{HttpLimits, Policy, Pool};
pub use start_order::StartOrder;
pub use store_error::StoreError;
pub use team::Team;
