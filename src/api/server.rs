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
use super::{BodyBudget, Drained, Handler, RequestLimiter};
use crate::config::Limits;
use crate::metric::Metrics;
use crate::platform::Address;
use crate::time::Millis;
use crate::trace::Tracer;

/// Maximum wait for a request before the loop checks whether it should stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two probes of the listener.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for a probe to connect, and for the loop to end after a stop.
const PROBE_AND_JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a write to a client that does not read its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a read from a client that sends nothing; also for `accept`, to which the probes connect well before.
const READ_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum number of failed listeners whose connections are still served.
const FAILED_LISTENERS_MAX: usize = 4;

type HttpServer = tiny_http::Server;

/// Reason why the server cannot start.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// Address to listen on.
        address: Address,
        /// Error of the operating system.
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
    stop_requested: Arc<AtomicBool>,
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
    /// Starts a server that listens on `listen` and runs until it is stopped.
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
            limiter: Arc::new(RequestLimiter::new(
                limits.connections as usize,
                limits.waiting as usize,
            )),
            bodies: Arc::new(BodyBudget::new(limits.held_bytes)),
            metrics,
            tracer,
        });
        let http_server = bind(listen)?;
        let address = http_server.server_addr().to_ip().unwrap_or(listen);
        let stop_requested = Arc::new(AtomicBool::new(false));
        let (stop_flag, shared) = (Arc::clone(&stop_requested), Arc::clone(&service));
        let thread = thread::Builder::new()
            .name("api".to_owned())
            .spawn(move || serve_requests(http_server, address, &shared, &stop_flag))?;
        Ok(Self {
            address,
            service,
            stop_requested,
            thread,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Number of requests passed to the handler and not answered yet.
    pub fn in_flight(&self) -> usize {
        self.service.limiter.in_flight()
    }

    /// Rejects new requests and reports not ready; requests in flight continue.
    pub fn start_draining(&self) {
        self.service.limiter.start_draining();
    }

    /// Rejects new requests, waits at most `limit` until those in flight are answered, and stops listening.
    pub fn stop(self, limit: Millis) -> Drained {
        self.service.limiter.start_draining();
        let unread_limit = limit.min(Millis(self.service.limits.header_ms));
        let drained = self.service.limiter.wait_idle(limit, unread_limit);
        self.stop_requested.store(true, Ordering::Release);
        let start = Instant::now();
        while !self.thread.is_finished() && start.elapsed() < PROBE_AND_JOIN_TIMEOUT {
            thread::sleep(POLL_INTERVAL);
        }
        drained
    }
}

/// Opens a listener whose connections have `TCP_NODELAY`, a read timeout and a write timeout.
///
/// Accepted sockets inherit these options. Without `TCP_NODELAY` a response above 1 KB on a persistent connection waits
/// 40 ms for the client's delayed acknowledgement, since `tiny_http` writes header and body separately. The read timeout
/// also ends `accept`, which `tiny_http` treats as a failure of the listener, so it must be much longer than
/// [`PROBE_INTERVAL`].
fn open_listener(address: Address) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // The standard library offers these setters only on streams.
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn bind(address: Address) -> Result<HttpServer, ServerError> {
    let listen_error = |reason: String| ServerError::Listen { address, reason };
    let listener = open_listener(address).map_err(|e| listen_error(e.to_string()))?;
    HttpServer::from_listener(listener, None).map_err(|e| listen_error(e.to_string()))
}

/// Receives requests until a stop is requested. The accepting thread of `tiny_http` ends permanently when `accept`
/// fails once, for example because the process is out of file descriptors. The loop therefore probes the listener and
/// replaces a failed one, whose accepted connections are still served.
fn serve_requests(first: HttpServer, address: Address, service: &Arc<Service>, stop_requested: &AtomicBool) {
    let mut current = first;
    let mut failed: VecDeque<HttpServer> = VecDeque::new();
    let mut probed_at = Instant::now();
    while !stop_requested.load(Ordering::Acquire) {
        if let Ok(Some(request)) = current.recv_timeout(POLL_INTERVAL) {
            spawn_handler(request, service);
        }
        for replaced in &failed {
            while let Ok(Some(request)) = replaced.try_recv() {
                spawn_handler(request, service);
            }
        }
        if probed_at.elapsed() < PROBE_INTERVAL {
            continue;
        }
        probed_at = Instant::now();
        if is_listening(address) {
            continue;
        }
        log::error!("the listener on {address} has failed and is being replaced");
        match bind(address) {
            Ok(server) => failed.push_back(mem::replace(&mut current, server)),
            Err(e) => log::error!("the failed listener cannot be replaced: {e}"),
        }
        if failed.len() > FAILED_LISTENERS_MAX {
            failed.pop_front();
        }
    }
}

fn spawn_handler(request: Request, service: &Arc<Service>) {
    let service = Arc::clone(service);
    let thread = thread::Builder::new().name("request".to_owned());
    // The request is dropped with the closure: it is answered with status 500 and was not run.
    if let Err(e) = thread.spawn(move || service.serve(request)) {
        log::error!("a request was not run because no thread can be started: {e}");
    }
}

fn is_listening(address: Address) -> bool {
    match TcpStream::connect_timeout(&address, PROBE_AND_JOIN_TIMEOUT) {
        Ok(_) => true,
        // Only a refused connection shows that nothing listens. With a full backlog or no free descriptor the listener
        // may still work.
        Err(e) => e.kind() != io::ErrorKind::ConnectionRefused,
    }
}
