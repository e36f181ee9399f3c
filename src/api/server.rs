//! The HTTP server.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{fmt, io, mem};

use rouille::{Request, Response};
use thiserror::Error;

use super::service::Service;
use super::{Drained, Gate, Handler};
use crate::config::Limits;
use crate::metric::Metrics;
use crate::platform::Address;
use crate::time::Millis;
use crate::trace::Tracer;

/// Time without a request after which the loop looks whether it should stop.
const POLL: Duration = Duration::from_millis(20);
/// Time between two checks that the listener still accepts.
const PROBE: Duration = Duration::from_secs(2);
/// Time for a probe to connect, and for the loop to end after a stop.
const PATIENCE: Duration = Duration::from_secs(1);
/// Failed listeners whose connections are still served.
const FAILED_MAX: usize = 4;

type Inner = rouille::Server<Box<dyn Fn(&Request) -> Response + Send + Sync>>;

/// Failure to start.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address is in use or not of this machine.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: Address,
        /// Why not.
        reason: String,
    },
    /// No thread can be started.
    #[error("cannot start a thread")]
    Thread(#[from] io::Error),
}

/// A running server.
pub struct Server {
    address: Address,
    service: Arc<Service>,
    ended: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Listens and answers until it is stopped.
    pub fn start(
        listen: Address,
        limits: Limits,
        handler: Arc<dyn Handler>,
        metrics: Arc<Metrics>,
        tracer: Tracer,
    ) -> Result<Self, ServerError> {
        let service = Arc::new(Service {
            handler,
            limits,
            gate: Arc::new(Gate::new(limits.connections as usize, limits.waiting as usize)),
            metrics,
            tracer,
        });
        let inner = bind(listen, &service)?;
        let address = inner.server_addr();
        let ended = Arc::new(AtomicBool::new(false));
        let (flag, shared) = (Arc::clone(&ended), Arc::clone(&service));
        let thread = thread::Builder::new()
            .name("api".to_owned())
            .spawn(move || run(inner, address, &shared, &flag))?;
        Ok(Self {
            address,
            service,
            ended,
            thread,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Requests that a handler works on now.
    pub fn in_flight(&self) -> usize {
        self.service.gate.in_flight()
    }

    /// Refuses new requests and reports not ready, while those in flight go on.
    pub fn refuse(&self) {
        self.service.gate.close();
    }

    /// Stops accepting, waits until requests in flight are answered, at most `limit`, and returns.
    pub fn stop(self, limit: Millis) -> Drained {
        self.service.gate.close();
        let unread = limit.min(Millis(self.service.limits.header_ms));
        let drained = self.service.gate.wait(limit, unread);
        self.ended.store(true, Ordering::Release);
        // The loop ends at the first pause between requests. Under load without a pause it is left to the end of the
        // process: everything that it still takes is refused.
        let start = Instant::now();
        while !self.thread.is_finished() && start.elapsed() < PATIENCE {
            thread::sleep(POLL);
        }
        drained
    }
}

fn bind(listen: Address, service: &Arc<Service>) -> Result<Inner, ServerError> {
    let service = Arc::clone(service);
    let answer: Box<dyn Fn(&Request) -> Response + Send + Sync> = Box::new(move |request| service.answer(request));
    rouille::Server::new(listen, answer).map_err(|e| ServerError::Listen {
        address: listen,
        reason: e.to_string(),
    })
}

/// Takes requests until the end. The accepting thread of `tiny_http` ends for good when accepting fails once, for example
/// because the process is out of file descriptors; the loop therefore probes the listener and replaces it. Connections
/// that the old one has accepted are still served through it.
fn run(first: Inner, address: Address, service: &Arc<Service>, ended: &AtomicBool) {
    let mut newest = first;
    let mut failed = VecDeque::new();
    let mut probed = Instant::now();
    while !ended.load(Ordering::Acquire) {
        poll(&newest, POLL);
        for old in &failed {
            poll(old, Duration::ZERO);
        }
        if probed.elapsed() < PROBE {
            continue;
        }
        probed = Instant::now();
        if accepts(address) {
            continue;
        }
        log::error!("the listener on {address} has failed and is replaced");
        match bind(address, service) {
            Ok(server) => failed.push_back(mem::replace(&mut newest, server)),
            Err(e) => log::error!("{e}"),
        }
        if failed.len() > FAILED_MAX {
            failed.pop_front();
        }
    }
}

fn poll(server: &Inner, time: Duration) {
    // rouille panics when it cannot start a thread for a request; that request is lost, the server goes on.
    if catch_unwind(AssertUnwindSafe(|| server.poll_timeout(time))).is_err() {
        log::error!("no thread can be started for a request");
    }
}

fn accepts(address: Address) -> bool {
    match TcpStream::connect_timeout(&address, PATIENCE) {
        Ok(_) => true,
        // Only a refusal shows that nobody listens; with a full backlog or no free descriptor the listener may live.
        Err(e) => e.kind() != io::ErrorKind::ConnectionRefused,
    }
}
