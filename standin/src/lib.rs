//! Test doubles for the platform and the endpoints, and the demo, load and measuring tools built on them.
//!
//! The state machines perform no I/O and take the current time as an argument. [`fake`] implements the library's traits
//! with them, for tests in one process and virtual time; [`server`] serves them over HTTP in real time.

pub mod defects;
pub mod demo;
pub mod endpoint;
pub mod fake;
pub mod fault;
pub mod load;
pub mod measure;
pub mod record;
pub mod sample;
pub mod script;
pub mod server;
pub mod table;
