//! HTTP server for a single-threaded async runtime.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinSet, spawn_local};

use super::timeout_stream::{Phase, SharedPhase, TimeoutStream};
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

/// Starts a server on `listener` with at most `max_connections` connections at a time.
pub fn serve<H>(listener: TcpListener, handler: Rc<H>, max_connections: usize) -> Server
where
    H: Handler,
{
    let (stop, mut stop_signal) = watch::channel(false);
    let done = spawn_local(async move {
        let permits = Arc::new(Semaphore::new(max_connections));
        let mut connections = JoinSet::new();
        loop {
            let permit = tokio::select! {
                permit = Arc::clone(&permits).acquire_owned() => permit,
                _ = stop_signal.changed() => break,
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop_signal.changed() => break,
            };
            while connections.try_join_next().is_some() {}
            match accepted {
                Ok((stream, _)) => {
                    let handler = Rc::clone(&handler);
                    let stop_signal = stop_signal.clone();
                    connections.spawn_local(async move {
                        handle_connection(stream, handler, stop_signal).await;
                        drop(permit);
                    });
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

async fn handle_connection<H>(stream: TcpStream, handler: Rc<H>, mut stop_signal: watch::Receiver<bool>)
where
    H: Handler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "setting TCP_NODELAY on an accepted connection failed");
    }
    let limits = handler.limits();
    let phase = SharedPhase::new();
    let idle_timeout = Duration::from_millis(limits.idle_ms);
    let request_timeout = Duration::from_millis(limits.header_ms);
    let timeout_stream = TimeoutStream::new(stream, Rc::clone(&phase), idle_timeout, request_timeout);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        let phase = Rc::clone(&phase);
        async move {
            let answer = answer(&*handler, &phase, request).await;
            phase.set(Phase::Idle);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(READ_BUFFER_BYTES_MIN))
        .half_close(true)
        .serve_connection(TokioIo::new(timeout_stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = stop_signal.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "HTTP connection failed");
    }
}

async fn answer<H>(handler: &H, phase: &SharedPhase, request: Request<Incoming>) -> Response<Full<Bytes>>
where
    H: Handler,
{
    let (parts, body) = request.into_parts();
    let limit = handler.limits().body_bytes;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let status = if error.is::<LengthLimitError>() {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            return empty_response(status);
        }
    };
    phase.set(Phase::Handling);
    handler.answer(Request::from_parts(parts, body)).await
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("connection", hyper::header::HeaderValue::from_static("close"));
    response
}
