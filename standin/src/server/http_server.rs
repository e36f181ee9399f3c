//! An HTTP server in a thread.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rouille::{Request, Response};

use super::reply::broken_connection;

/// Time without a request after which a server looks whether it is to stop. rouille's loop cannot be left sooner, and
/// a longer time would keep a busy server from ever stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for the listener to close. A server that stays busy is left behind; it carries nothing out any more.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two looks whether the listener has closed.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// An HTTP server in a thread, stopped when dropped. From then on no request is handed to the handler.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on an address and answers requests with a handler, each in a thread of its own.
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

    /// Where it listens.
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
            // A panic of the thread has been printed already.
            drop(thread.join());
        }
    }
}
