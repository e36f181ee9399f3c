//! TCP stream with read timeouts that depend on the phase of the request, and a timeout of writes.
//!
//! A socket that is closed with unread input resets the connection, and the client may lose an answer that it has not
//! read yet. After an answer that came before the end of its request, the stream therefore reads on for a bounded time
//! and number of bytes before it is closed.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::connection::{Connection, Phase};

/// Longest time for which input is dropped before a connection is closed.
const DISCARD_TIME: Duration = Duration::from_secs(30);
/// The same while the server stops, and the longest time between two pieces of such input.
const DISCARD_PAUSE: Duration = Duration::from_secs(2);
/// Most bytes that are dropped before a connection is closed: the largest body that settings allow.
const DISCARD_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Size of the buffer for input that is dropped.
const DISCARD_BUFFER_BYTES: usize = 8 * 1_024;

/// TCP stream whose reads fail when a phase takes too long, and whose writes fail when the client does not read.
#[derive(Debug)]
pub(super) struct TimeoutStream {
    stream: TcpStream,
    connection: Rc<Connection>,
    idle_timeout: Duration,
    request_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    /// Runs while a write waits for the client.
    write_timer: Option<Pin<Box<Sleep>>>,
    discarded_bytes: usize,
}

impl TimeoutStream {
    pub fn new(
        stream: TcpStream,
        connection: Rc<Connection>,
        idle_timeout: Duration,
        request_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection,
            idle_timeout,
            request_timeout,
            timer: Box::pin(sleep_until(Instant::now() + idle_timeout)),
            write_timer: None,
            discarded_bytes: 0,
        }
    }

    /// Reads and drops what the client still sends.
    fn discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let time_limit = if self.connection.stopping.get() {
            DISCARD_PAUSE
        } else {
            DISCARD_TIME
        };
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        while self.discarded_bytes < DISCARD_BYTES_MAX && self.connection.age() < time_limit {
            let mut input = ReadBuf::new(&mut buffer);
            match Pin::new(&mut self.stream).poll_read(context, &mut input) {
                Poll::Ready(Ok(())) if !input.filled().is_empty() => {
                    self.discarded_bytes += input.filled().len();
                    self.timer.as_mut().reset(Instant::now() + DISCARD_PAUSE);
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.timer.as_mut().poll(context),
            }
        }
        Poll::Ready(())
    }

    /// Result of a write, or a timeout if the client has not read for too long.
    fn limit_write(&mut self, context: &mut Context<'_>, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let span = self.request_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(span)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buf);
        if result.is_ready() {
            if buf.filled().len() > before && self.connection.phase() == Phase::Idle {
                self.connection.enter(Phase::Request);
            }
            return result;
        }
        let limit = match self.connection.phase() {
            Phase::Idle | Phase::Closing => self.idle_timeout,
            Phase::Request => self.request_timeout,
            Phase::Handling => return Poll::Pending,
        };
        let deadline = self.connection.since() + limit;
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
        let written = Pin::new(&mut self.stream).poll_write(context, buf);
        self.limit_write(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.phase() != Phase::Closing {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            let is_read = self.connection.phase() != Phase::Request && !self.connection.unread.get();
            if is_read {
                return Poll::Ready(Ok(()));
            }
            self.connection.enter(Phase::Closing);
            self.timer.as_mut().reset(Instant::now() + DISCARD_PAUSE);
        }
        self.discard(context).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bufs);
        self.limit_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
