//! Stand-ins for the platform and the endpoints.
//!
//! The state machines here are pure and take the time as an argument; [`fake`] puts them behind the library's traits
//! for tests in one process with virtual time, and
//! [`server`] puts them behind HTTP in real time.

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
