//! HTTP server for a single-threaded async runtime.

use std::convert::Infallible;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep_until};

use super::connection::{Connection, Phase};
use super::connection_table::Slot;
use super::timeout_stream::TimeoutStream;
use super::{ConnectionTable, Refusal};
use crate::port::HttpLimits;

/// Smallest read buffer that hyper accepts, in bytes.
const READ_BUFFER_BYTES_MIN: usize = 8_192;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Answers a request, whose body has been read completely.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Response<Full<Bytes>>>;

    /// Limits for new connections and request bodies.
    fn limits(&self) -> HttpLimits;

    /// Answers a request whose body is not needed, before it is read; `None` for any other.
    fn screen(&self, _head: &Parts) -> impl Future<Output = Option<Response<Full<Bytes>>>> {
        ready(None)
    }

    /// Answers a request that is not run.
    fn refuse(&self, _head: &Parts, refusal: &Refusal) -> Response<Full<Bytes>> {
        refusal.response()
    }

    /// Whether the names of header fields are written in title case.
    fn has_title_case(&self) -> bool {
        false
    }
}

/// Handle of a running server, which stops when this is dropped.
#[derive(Debug)]
#[must_use = "the server stops when this is dropped"]
pub struct Server {
    stop: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Stops accepting connections, answers the requests in flight and returns when all connections are closed.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.done.await {
            log::error!(error:% = error; "the task of the HTTP server failed");
        }
    }
}

/// Starts a server on `listener` whose connections are kept in `table`.
pub fn serve<H>(listener: TcpListener, handler: Rc<H>, table: Rc<ConnectionTable>) -> Server
where
    H: Handler,
{
    let (stop, mut stop_signal) = watch::channel(false);
    let done = spawn_local(async move {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop_signal.changed() => break,
            };
            while connections.try_join_next().is_some() {}
            match accepted {
                Ok((stream, _)) => {
                    let Some(slot) = table.accept() else { continue };
                    let handler = Rc::clone(&handler);
                    let stop_signal = stop_signal.clone();
                    connections.spawn_local(handle_connection(stream, slot, handler, stop_signal));
                    // A connection that was closed for this one gives up its descriptor before the next is accepted.
                    yield_now().await;
                }
                Err(error) => {
                    log::warn!(error:% = error; "accepting an HTTP connection failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    });
    Server { stop, done }
}

async fn handle_connection<H>(stream: TcpStream, slot: Slot, handler: Rc<H>, mut stop_signal: watch::Receiver<bool>)
where
    H: Handler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "setting TCP_NODELAY on an accepted connection failed");
    }
    let limits = handler.limits();
    let state = Rc::clone(&slot.connection);
    let idle_timeout = Duration::from_millis(limits.idle_ms);
    let request_timeout = Duration::from_millis(limits.header_ms);
    let timeout_stream = TimeoutStream::new(stream, Rc::clone(&state), idle_timeout, request_timeout);
    let service = service_fn(|request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        let (connection, table) = (Rc::clone(&state), Rc::clone(&slot.table));
        async move {
            let answer = answer(&*handler, &table, &connection, request).await;
            table.release(&connection);
            connection.enter(Phase::Idle);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(READ_BUFFER_BYTES_MIN))
        .half_close(true)
        .title_case_headers(handler.has_title_case())
        .serve_connection(TokioIo::new(timeout_stream), service);
    tokio::pin!(connection);
    // A connection that is to be closed must not begin to handle a request.
    let ended = tokio::select! {
        biased;
        () = state.closed() => return,
        ended = &mut connection => ended,
        _ = stop_signal.changed() => {
            state.stopping.set(true);
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                () = state.closed() => return,
                ended = &mut connection => ended,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "HTTP connection failed");
    }
}

async fn answer<H>(
    handler: &H,
    table: &ConnectionTable,
    connection: &Connection,
    request: Request<Incoming>,
) -> Response<Full<Bytes>>
where
    H: Handler,
{
    if connection.phase() == Phase::Idle {
        // The request came with the one before, so the stream has not seen it arrive.
        connection.enter(Phase::Request);
    }
    connection.unread.set(true);
    let (head, body) = request.into_parts();
    let limits = handler.limits();
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return refuse(handler, &head, &Refusal::TooLarge);
    }
    if let Some(response) = handler.screen(&head).await {
        connection.unread.set(!body.is_end_stream());
        return response;
    }
    let deadline = connection.since() + Duration::from_millis(limits.header_ms);
    let received = tokio::select! {
        biased;
        () = connection.refused() => Err(Refusal::Evicted),
        received = receive(table, connection, body, limits.body_bytes) => received,
        () = sleep_until(deadline) => Err(Refusal::TooSlow),
    };
    let body = match received {
        Ok(body) => body,
        Err(Refusal::Unreadable(_)) if Instant::now() >= deadline => {
            return refuse(handler, &head, &Refusal::TooSlow);
        }
        Err(refusal) => return refuse(handler, &head, &refusal),
    };
    connection.unread.set(false);
    connection.enter(Phase::Handling);
    handler.answer(Request::from_parts(head, body)).await
}

/// Reads a body of at most `limit` bytes.
async fn receive(
    table: &ConnectionTable,
    connection: &Connection,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, Refusal> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!(error:% = error; "receiving the body of a request failed");
            Refusal::Unreadable(error.to_string())
        })?;
        let Some(part) = frame.data_ref() else { continue };
        table.append(connection, part, limit)?;
    }
    Ok(Bytes::from(connection.body.take()))
}

/// A response without a body.
pub fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Answer to a request that was not passed to the handler, after which the connection is closed.
fn refuse<H>(handler: &H, head: &Parts, refusal: &Refusal) -> Response<Full<Bytes>>
where
    H: Handler,
{
    let mut response = handler.refuse(head, refusal);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert("connection", close);
    response
}
