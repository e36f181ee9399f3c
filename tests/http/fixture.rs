//! Servers, addresses and faults for the tests.

use std::net::TcpListener;

use standin::sample::loopback;
use standin::server::{FaultKind, InjectedFault, PlatformServer, Target};
use yuccaridge::platform::Address;
use yuccaridge::platform::http::Timeouts;
use yuccaridge::time::Millis;

/// Short timeouts, so that a test ends soon when no answer arrives.
pub fn timeouts() -> Timeouts {
    Timeouts {
        connect: Millis(500),
        read: Millis(500),
    }
}

pub fn platform() -> PlatformServer {
    PlatformServer::start(loopback()).unwrap()
}

/// An address that refuses connections.
pub fn refusing_address() -> Address {
    TcpListener::bind(loopback()).unwrap().local_addr().unwrap()
}

/// A fault that affects `count` requests.
pub fn fault(target: Target, kind: FaultKind, count: u32) -> InjectedFault {
    InjectedFault {
        target,
        kind,
        count: Some(count),
    }
}
