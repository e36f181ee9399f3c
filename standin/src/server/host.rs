//! An HTTP server in a thread.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rouille::{Request, Response};

/// Longest time until a server without requests notices that it is to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// An HTTP server in a thread, stopped when dropped.
#[derive(Debug)]
pub struct Host {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Listens on an address and answers requests with a handler, each in a thread of its own.
    pub fn start<F>(listen: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server = rouille::Server::new(listen, handler).map_err(io::Error::other)?;
        let address = server.server_addr();
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            while !seen.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL);
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

impl Drop for Host {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            drop(thread.join());
        }
    }
}
