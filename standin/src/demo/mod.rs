//! A guided tour that checks what it shows.
//!
//! Platform, endpoints and three instances run in this process and talk over loopback. Each chapter does something as a
//! caller or operator would, says what happened, and compares it with the endpoints' own record.

mod error;
mod site;
mod walkthrough;

pub use error::DemoError;
pub use site::{DemoInstance, Site};
pub use walkthrough::run;
