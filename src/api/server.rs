//! The HTTP server.

use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{fmt, io, mem};

use thiserror::Error;
use tiny_http::Request;

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
/// Time for which a client may leave its answer unread.
const WRITE_SILENCE: Duration = Duration::from_secs(30);
/// Failed listeners whose connections are still served.
const FAILED_MAX: usize = 4;

type Inner = tiny_http::Server;

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
        let inner = bind(listen)?;
        let address = inner.server_addr().to_ip().unwrap_or(listen);
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
    pub fn start_draining(&self) {
        self.service.gate.close();
    }

    /// Stops accepting, waits until requests in flight are answered, at most `limit`, and returns.
    pub fn stop(self, limit: Millis) -> Drained {
        self.service.gate.close();
        let unread = limit.min(Millis(self.service.limits.header_ms));
        let drained = self.service.gate.wait(limit, unread);
        self.ended.store(true, Ordering::Release);
        let start = Instant::now();
        while !self.thread.is_finished() && start.elapsed() < PATIENCE {
            thread::sleep(POLL);
        }
        drained
    }
}

/// A listener whose connections send at once, and give up a client that does not read its answer.
///
/// Accepted sockets inherit these options. Without `TCP_NODELAY` an answer above 1 KB on a kept connection waits 40 ms
/// for the client's delayed acknowledgement, since `tiny_http` writes header and body apart. A read timeout cannot be
/// set in this way, because it would also end `accept`, which `tiny_http` takes for a failure of the listener.
fn open(address: Address) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // The standard library has the setters on streams only.
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_SILENCE))?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn bind(address: Address) -> Result<Inner, ServerError> {
    let failed = |reason: String| ServerError::Listen { address, reason };
    let listener = open(address).map_err(|e| failed(e.to_string()))?;
    Inner::from_listener(listener, None).map_err(|e| failed(e.to_string()))
}

/// Takes requests until the end. The accepting thread of `tiny_http` ends for good when accepting fails once, for example
/// because the process is out of file descriptors; the loop therefore probes the listener and replaces it. Connections
/// that the old one has accepted are still served through it.
fn run(first: Inner, address: Address, service: &Arc<Service>, ended: &AtomicBool) {
    let mut newest = first;
    let mut failed: VecDeque<Inner> = VecDeque::new();
    let mut probed = Instant::now();
    while !ended.load(Ordering::Acquire) {
        if let Ok(Some(request)) = newest.recv_timeout(POLL) {
            hand_over(request, service);
        }
        for old in &failed {
            while let Ok(Some(request)) = old.try_recv() {
                hand_over(request, service);
            }
        }
        if probed.elapsed() < PROBE {
            continue;
        }
        probed = Instant::now();
        if accepts(address) {
            continue;
        }
        log::error!("the listener on {address} has failed and is replaced");
        match bind(address) {
            Ok(server) => failed.push_back(mem::replace(&mut newest, server)),
            Err(e) => log::error!("{e}"),
        }
        if failed.len() > FAILED_MAX {
            failed.pop_front();
        }
    }
}

fn hand_over(request: Request, service: &Arc<Service>) {
    let service = Arc::clone(service);
    let thread = thread::Builder::new().name("request".to_owned());
    // Dropped with the closure, the request is answered with status 500, and nothing was run.
    if let Err(e) = thread.spawn(move || service.serve(request)) {
        log::error!("no thread can be started for a request: {e}");
    }
}

fn accepts(address: Address) -> bool {
    match TcpStream::connect_timeout(&address, PATIENCE) {
        Ok(_) => true,
        // Only a refusal shows that nobody listens; with a full backlog or no free descriptor the listener may live.
        Err(e) => e.kind() != io::ErrorKind::ConnectionRefused,
    }
}
