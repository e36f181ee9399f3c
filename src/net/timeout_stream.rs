//! TCP stream with read timeouts that depend on the phase of the request.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for the first byte of a request.
    Idle,
    /// Waiting for the rest of a request.
    Request,
    /// Waiting for the handler to answer; reads do not time out.
    Handling,
}

/// Phase of a connection and its start, shared by the stream and the HTTP service.
#[derive(Debug)]
pub(super) struct SharedPhase {
    current: Cell<Phase>,
    since: Cell<Instant>,
}

impl SharedPhase {
    /// A connection that waits for a request.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            current: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
        })
    }

    /// Enters a phase and restarts its timeout.
    pub fn set(&self, next: Phase) {
        self.current.set(next);
        self.since.set(Instant::now());
    }
}

/// TCP stream whose reads fail when a phase takes too long.
#[derive(Debug)]
pub(super) struct TimeoutStream {
    stream: TcpStream,
    phase: Rc<SharedPhase>,
    idle_timeout: Duration,
    request_timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

impl TimeoutStream {
    pub fn new(stream: TcpStream, phase: Rc<SharedPhase>, idle_timeout: Duration, request_timeout: Duration) -> Self {
        Self {
            stream,
            phase,
            idle_timeout,
            request_timeout,
            timer: Box::pin(sleep_until(Instant::now() + idle_timeout)),
        }
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buf);
        if result.is_ready() {
            if buf.filled().len() > before && self.phase.current.get() == Phase::Idle {
                self.phase.set(Phase::Request);
            }
            return result;
        }
        let limit = match self.phase.current.get() {
            Phase::Idle => self.idle_timeout,
            Phase::Request => self.request_timeout,
            Phase::Handling => return Poll::Pending,
        };
        let deadline = self.phase.since.get() + limit;
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        if self.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
