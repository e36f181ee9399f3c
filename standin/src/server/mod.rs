//! HTTP servers of the stand-ins, on threads of the calling process.
//!
//! They implement the wire format of `docs/platform.md`. Each server listens on its own address, with an ephemeral port
//! if the port is 0, and stops when it is dropped.

mod endpoint;
mod faults;
mod http_server;
mod platform;
mod reply;

pub use endpoint::EndpointServer;
pub use faults::{FaultKind, Faults, InjectedFault, Target};
pub use http_server::HttpServer;
pub use platform::{PlatformServer, Presences};
