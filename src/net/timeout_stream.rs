//! A connection with bounds on how long its peer may be silent.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// What the connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Waiting {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a request.
    Request,
    /// For the answer to a request.
    Answer,
}

/// State that the connection and its service share.
#[derive(Debug)]
pub(super) struct Turn {
    waiting: Cell<Waiting>,
    since: Cell<Instant>,
}

impl Turn {
    /// An idle connection.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            waiting: Cell::new(Waiting::Idle),
            since: Cell::new(Instant::now()),
        })
    }

    /// Notes what the connection waits for from now on.
    pub fn set(&self, waiting: Waiting) {
        self.waiting.set(waiting);
        self.since.set(Instant::now());
    }
}

/// A connection whose reads fail when its peer is silent for too long.
#[derive(Debug)]
pub(super) struct Timed {
    stream: TcpStream,
    turn: Rc<Turn>,
    idle: Duration,
    request: Duration,
    timer: Pin<Box<Sleep>>,
}

impl Timed {
    pub fn new(stream: TcpStream, turn: Rc<Turn>, idle: Duration, request: Duration) -> Self {
        Self {
            stream,
            turn,
            idle,
            request,
            timer: Box::pin(sleep_until(Instant::now() + idle)),
        }
    }
}

impl AsyncRead for Timed {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buf);
        if polled.is_ready() {
            if buf.filled().len() > before && self.turn.waiting.get() == Waiting::Idle {
                self.turn.set(Waiting::Request);
            }
            return polled;
        }
        let limit = match self.turn.waiting.get() {
            Waiting::Idle => self.idle,
            Waiting::Request => self.request,
            Waiting::Answer => return Poll::Pending,
        };
        let deadline = self.turn.since.get() + limit;
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        if self.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for Timed {
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
