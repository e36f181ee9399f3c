//! HTTP client and server for a single-threaded async runtime, and clocks.
//!
//! [`Client`] reuses connections and distinguishes a request that was not sent from one without a response. [`serve`]
//! limits the resources that a client can occupy: the number of connections, the time to send a request, the sizes of
//! header and body, and the idle time. A connection costs a task, not a thread.

mod client;
mod clock;
mod server;
mod timeout_stream;

pub use client::{Answer, Client, RequestError};
pub use clock::{SteadyClock, wall_ms};
pub use server::{Handler, Server, serve};
