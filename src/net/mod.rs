//! HTTP connections on one thread.
//!
//! [`Client`] keeps connections and tells a request that was not sent from one without an answer. [`serve`] bounds what a
//! caller can hold: the number of connections, the time of a header, the size of a body and idle time. Both run on a
//! single-threaded runtime; a connection costs a task, not a thread.

mod client;
mod clock;
mod server;
mod timeout_stream;

pub use client::{Answer, Client, RequestError};
pub use clock::{SteadyClock, wall_ms};
pub use server::{Handler, Server, serve};
