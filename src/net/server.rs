//! HTTP server on one thread.

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

use super::timeout_stream::{Timed, Turn, Waiting};
use crate::port::HttpLimits;

/// Smallest read buffer that hyper accepts, in bytes.
const BUFFER_MIN: usize = 8_192;

/// Pause after a failed accept, so that a lack of descriptors does not keep the processor busy.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request whose body has been read.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Response<Full<Bytes>>>;

    /// Limits in force for new connections.
    fn limits(&self) -> HttpLimits;
}

/// A running server; it stops when this is dropped.
#[derive(Debug)]
#[must_use = "the server stops when this is dropped"]
pub struct Server {
    stop: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Takes no new connections, answers the requests in flight and returns when all connections are closed.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.done.await {
            log::error!(error:% = error; "server ended badly");
        }
    }
}

/// Starts to serve on a listener, with at most `most` connections.
pub fn serve<H>(listener: TcpListener, handler: Rc<H>, most: usize) -> Server
where
    H: Handler,
{
    let (stop, mut stopped) = watch::channel(false);
    let done = spawn_local(async move {
        let slots = Arc::new(Semaphore::new(most));
        let mut connections = JoinSet::new();
        loop {
            let slot = tokio::select! {
                slot = Arc::clone(&slots).acquire_owned() => slot,
                _ = stopped.changed() => break,
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopped.changed() => break,
            };
            while connections.try_join_next().is_some() {}
            match accepted {
                Ok((stream, _)) => {
                    let handler = Rc::clone(&handler);
                    let stopped = stopped.clone();
                    connections.spawn_local(async move {
                        connection(stream, handler, stopped).await;
                        drop(slot);
                    });
                }
                Err(error) => {
                    log::warn!(error:% = error; "could not accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    });
    Server { stop, done }
}

async fn connection<H>(stream: TcpStream, handler: Rc<H>, mut stopped: watch::Receiver<bool>)
where
    H: Handler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "could not set TCP_NODELAY");
    }
    let limits = handler.limits();
    let turn = Turn::new();
    let idle = Duration::from_millis(limits.idle_ms);
    let request = Duration::from_millis(limits.header_ms);
    let timed = Timed::new(stream, Rc::clone(&turn), idle, request);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        let turn = Rc::clone(&turn);
        async move {
            let answer = answer(&*handler, &turn, request).await;
            turn.set(Waiting::Idle);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(BUFFER_MIN))
        .half_close(true)
        .serve_connection(TokioIo::new(timed), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = stopped.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "connection ended");
    }
}

async fn answer<H>(handler: &H, turn: &Turn, request: Request<Incoming>) -> Response<Full<Bytes>>
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
            return plain(status);
        }
    };
    turn.set(Waiting::Answer);
    handler.answer(Request::from_parts(parts, body)).await
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("connection", hyper::header::HeaderValue::from_static("close"));
    response
}
