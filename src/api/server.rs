//! The HTTP server of `yuccaridge serve`.
//!
//! One thread serves all connections, and a bounded pool of threads runs the requests that have arrived in full.

use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use std::{fmt, io};

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::http_service::HttpService;
use super::service::Service;
use super::{Drained, Handler, RequestLimiter};
use crate::config::Limits;
use crate::metric::{ConnectionMetrics, Metrics};
use crate::net::{ConnectionLimits, ConnectionTable, serve};
use crate::platform::Address;
use crate::time::Millis;
use crate::trace::Tracer;

/// Threads for health, readiness, status and metrics, which are answered beside any number of other requests.
const LOCAL_THREADS: usize = 4;

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

/// A running server; stops at once when dropped.
pub struct Server {
    address: Address,
    limiter: Arc<RequestLimiter>,
    /// Passes the time limit of a stop to the thread.
    stop: oneshot::Sender<Duration>,
    /// Ends with the number of requests that had not arrived in full.
    thread: JoinHandle<usize>,
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
        let waiting = limits.waiting as usize;
        let limiter = Arc::new(RequestLimiter::new(waiting));
        let service = Service {
            handler,
            limits,
            limiter: Arc::clone(&limiter),
            connections: ConnectionMetrics::default(),
            metrics,
            tracer,
        };
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .max_blocking_threads(waiting + LOCAL_THREADS)
            .thread_name("request")
            .build()?;
        let listen_error = |e: io::Error| ServerError::Listen {
            address: listen,
            reason: e.to_string(),
        };
        let listener = runtime.block_on(TcpListener::bind(listen)).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let (stop, stop_signal) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("api".to_owned())
            .spawn(move || run(runtime, listener, service, stop_signal))?;
        Ok(Self {
            address,
            limiter,
            stop,
            thread,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Number of requests passed to the handler and not answered yet.
    pub fn in_flight(&self) -> usize {
        self.limiter.in_flight()
    }

    /// Rejects new requests and reports not ready; requests in flight continue.
    pub fn start_draining(&self) {
        self.limiter.start_draining();
    }

    /// Rejects new requests, waits at most `limit` until those in flight are answered, and stops listening.
    pub fn stop(self, limit: Millis) -> Drained {
        let start = Instant::now();
        self.limiter.start_draining();
        let unanswered = self.limiter.wait_idle(limit);
        let left = limit.duration().saturating_sub(start.elapsed());
        if self.stop.send(left).is_err() {
            log::error!("the thread of the HTTP server ended before it was stopped");
        }
        let unread = self.thread.join().unwrap_or_else(|_| {
            log::error!("the thread of the HTTP server panicked");
            0
        });
        Drained { unanswered, unread }
    }
}

/// Serves until a stop is requested. Returns the number of requests that had not arrived in full when its time was up.
fn run(runtime: Runtime, listener: TcpListener, service: Service, stop_signal: oneshot::Receiver<Duration>) -> usize {
    let limits = &service.limits;
    // Connections whose requests are being handled cannot be closed for others, so they have places of their own.
    let table_limits = ConnectionLimits {
        connections: limits.connections as usize + limits.waiting as usize,
        body_bytes: usize::try_from(limits.held_bytes).unwrap_or(usize::MAX),
    };
    let table = ConnectionTable::new(table_limits, service.connections.clone());
    let http_service = Rc::new(HttpService::new(Arc::new(service)));
    let unread = LocalSet::new().block_on(&runtime, async {
        let server = serve(listener, http_service, Rc::clone(&table));
        let Ok(time_limit) = stop_signal.await else { return 0 };
        if timeout(time_limit, server.stop()).await.is_ok() {
            return 0;
        }
        table.receiving()
    });
    // Requests that are still being handled keep their threads.
    runtime.shutdown_background();
    unread
}
