//! HTTP server on a background thread.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rouille::{Request, Response};

use super::reply::broken_connection;

/// Idle time after which the server loop checks whether to stop. rouille's poll returns only after this long without a
/// request, so a longer time would keep a busy server from ever stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for the listener to close. A server that stays busy keeps its thread but rejects every request.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks whether the listener has closed.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// HTTP server on a background thread, stopped when dropped. After that, the handler gets no more requests.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on an address and calls the handler for each request on a separate thread.
    pub fn start<F>(listen: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let stop = Arc::new(AtomicBool::new(false));
        let handler_stop = Arc::clone(&stop);
        let guarded = move |request: &Request| {
            if handler_stop.load(Ordering::Relaxed) {
                return broken_connection();
            }
            handler(request)
        };
        let server = rouille::Server::new(listen, guarded).map_err(io::Error::other)?;
        let address = server.server_addr();
        let loop_stop = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            while !loop_stop.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_CHECK_INTERVAL);
            }
        });
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let Some(thread) = self.thread.take() else { return };
        let stop_start = Instant::now();
        while !thread.is_finished() && stop_start.elapsed() < STOP_TIMEOUT {
            thread::sleep(JOIN_CHECK_INTERVAL);
        }
        if thread.is_finished() {
            // The panic hook has already printed a panic of this thread.
            drop(thread.join());
        }
    }
}
