//! HTTP client and server for a single-threaded async runtime, and clocks. Both programs serve their callers with it.
//!
//! [`Client`] reuses connections and distinguishes a request that was not sent from one without a response. [`serve`]
//! limits the resources that a client can occupy: the time to send a request and to read an answer, the sizes of header
//! and body, and the idle time. [`ConnectionTable`] limits what all clients occupy: the number of connections, and the
//! memory of the bodies that are being received or handled. A connection costs a task, not a thread.

mod client;
mod clock;
mod connection;
mod connection_limits;
mod connection_table;
pub mod occupancy;
mod refusal;
mod server;
mod timeout_stream;

pub use client::{Answer, Client, RequestError};
pub use clock::{SteadyClock, wall_ms};
pub use connection_limits::ConnectionLimits;
pub use connection_table::ConnectionTable;
pub use refusal::Refusal;
pub use server::{Handler, Server, empty_response, serve};
