//! One instance: its controllers, threads and API handler.
//!
//! [`Core`] holds the controllers without threads, sockets or a clock; tests step it in virtual time. [`Daemon`] gives
//! each part of it a thread, so that a slow table or endpoint cannot hold up the session's renewal.

mod core;
mod daemon;
mod fit;
mod gateway;
mod hint;
mod instrumented;
mod outage;
mod pools;
mod request_threads;
mod waiters;

pub use self::core::{Core, CoreOptions};
pub use daemon::{Daemon, DaemonError, run};
pub use fit::FleetFit;
pub use gateway::Gateway;
pub use hint::Hint;
pub use instrumented::Instrumented;
pub use outage::OutageDetector;
pub use pools::{PoolRequest, Pools, PoolsOutput};
pub use request_threads::{RequestResult, RequestThreads};
pub use waiters::Waiters;
