//! Services of the platform as traits, and the adapters that implement them over HTTP.
//!
//! Nothing outside this module knows the platform's wire format. Every transaction and endpoint command names the
//! [`Step`] that it belongs to: the rate limit derives its priority from the step, metrics count by it, and fakes inject
//! faults before or after it.

mod endpoint;
pub mod http;
mod listing;
mod objects;
mod rate_limited_table;
mod step;
mod table;
mod token_bucket;
mod usage;

pub use endpoint::{
    Action, Batch, CallPart, CallRequest, Command, EndpointError, Endpoints, Refusal, Reply, Report, TaskReport,
    TaskState,
};
pub use listing::{Address, ListedEndpoint, ListedInstance, Listing, ListingError, MachineList, Presence};
pub use objects::{ObjectError, Objects};
pub use rate_limited_table::{RateLimitedTable, TableBudget};
pub use step::{Priority, Step};
pub use table::{Check, Key, OpId, Page, Put, Row, Table, TableError, Txn, Version};
pub use usage::StepUsage;
