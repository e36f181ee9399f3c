//! Interfaces to the site on which the scheduler runs.
//!
//! A site provides a store of rows with conditional transactions and a feed of changes ([`RowStore`]), a channel for
//! orders to endpoints ([`Orders`]), and a decoder for the rows that its operators and endpoints write
//! ([`EntryDecoder`]). Each is a trait, so that tests run without a network. None of them makes decisions: retries,
//! timeouts of whole operations and the treatment of unknown outcomes belong to the callers.

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

pub use advice::{Advice, AdviceQuery, AdviceTerms};
pub use commit::Commit;
pub use endpoint_entry::EndpointEntry;
pub use entry_decoder::EntryDecoder;
pub use order_error::{OrderError, Refusal};
pub use orders::{HoldOrder, Orders, StopOrder, Target};
pub use queue::Queue;
pub use read::{Changes, Page, Range};
pub use report::{Outcome, Report, RunEnd, RunningTask};
pub use resources::Resources;
pub use row::{Row, RowKey};
pub use row_store::RowStore;
pub use site_config::{HttpLimits, Pool, SiteConfig};
pub use start_order::StartOrder;
pub use store_error::StoreError;
pub use team::Team;
