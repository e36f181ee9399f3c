//! HTTP and JSON adapters for the platform's table, object store, list and endpoints.
//!
//! `docs/platform.md` describes the wire format; the bodies that no trait defines are in [`wire`].
//!
//! An adapter reports that nothing happened only in two cases: the connection was never made, or the other side says
//! so with a [`wire::ErrorCode`] in its answer. A status alone is not trusted, because anything between the two sides
//! can produce one. All else counts as a lost answer.
//!
//! attohttpc sends `Connection: close` with each request, so each request costs one TCP connection, and one short-lived
//! thread that bounds the whole request.

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
