//! The stand-ins behind HTTP, as threads of any process.
//!
//! They speak the wire format of `docs/platform.md`. Each server listens on its own address, an ephemeral one if the
//! port is 0, and stops when it is dropped.

mod endpoint;
mod faults;
mod http_server;
mod platform;
mod reply;

pub use endpoint::EndpointServer;
pub use faults::{FaultKind, Faults, InjectedFault, Target};
pub use http_server::HttpServer;
pub use platform::{PlatformServer, Presences};
