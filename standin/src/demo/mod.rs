//! Demonstration of the system that checks each result.
//!
//! Platform, endpoints and three instances run in this process and communicate over loopback. Each section acts as a
//! caller or operator, prints what happened and compares it with the endpoints' records.

mod error;
mod site;
mod walkthrough;

pub use error::DemoError;
pub use site::{DemoInstance, Site};
pub use walkthrough::run;
