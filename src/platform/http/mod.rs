//! HTTP and JSON adapters for the platform's table, object store, list and endpoints.
//!
//! `docs/platform.md` describes the wire format; the bodies that no trait defines are in [`wire`].
//!
//! An adapter reports that a request had no effect only in two cases: the connection could not be opened, or the answer
//! says so with a [`wire::ErrorCode`]. A status alone is not trusted, because any intermediary can produce one. Every
//! other failure counts as a lost answer.
//!
//! attohttpc sends `Connection: close` with each request, so each request costs one TCP connection and one short-lived
//! thread that enforces the timeout of the whole request.

mod client;
mod commit_status;
mod endpoints;
mod listing;
mod objects;
mod table;
mod timeouts;
pub(crate) mod tracked_body;
pub mod wire;

pub use endpoints::HttpEndpoints;
pub use listing::HttpListing;
pub use objects::HttpObjects;
pub use table::HttpTable;
pub use timeouts::Timeouts;
