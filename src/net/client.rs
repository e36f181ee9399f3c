//! HTTP client with kept connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Largest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Longest wait for a connection, in milliseconds; three times the longest round trip between regions.
const CONNECT_MS: u64 = 800;

/// Kept connections to one address.
const KEPT_MAX: usize = 8;

/// Failure of a call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request was not sent.
    #[error("{0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("{0}")]
    Unknown(String),
}

/// Answer to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

type Connection = SendRequest<Full<Bytes>>;

/// Client that keeps the connections to each address.
#[derive(Debug, Clone, Default)]
pub struct Client {
    kept: Rc<RefCell<BTreeMap<Arc<str>, Vec<Connection>>>>,
}

impl Client {
    /// Sends a request and reads its answer within `limit`.
    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, RequestError> {
        if let Ok(result) = timeout(limit, self.attempt(address, request)).await {
            return result;
        }
        // The other connections to the address may be silent for the same reason.
        self.forget(address);
        Err(RequestError::Unknown(format!(
            "no answer within {} ms",
            limit.as_millis()
        )))
    }

    /// Drops the kept connections to an address.
    pub fn forget(&self, address: &Arc<str>) {
        self.kept.borrow_mut().remove(address);
    }

    async fn attempt(&self, address: &Arc<str>, request: Request<Full<Bytes>>) -> Result<Answer, RequestError> {
        let (mut connection, kept) = match self.take(address).await {
            Some(connection) => (connection, true),
            None => (connect(address).await?, false),
        };
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                // The peer closed a kept connection before the request was written.
                Some(request) if kept => {
                    connection = connect(address).await?;
                    connection.send_request(request).await.map_err(|error| lost(&error))?
                }
                Some(_) => return Err(RequestError::NotSent(error.into_error().to_string())),
                None => return Err(lost(&error.into_error())),
            },
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX)
            .collect()
            .await
            .map_err(|error| RequestError::Unknown(error.to_string()))?;
        self.keep(address, connection);
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    async fn take(&self, address: &Arc<str>) -> Option<Connection> {
        loop {
            let mut connection = self.kept.borrow_mut().get_mut(address)?.pop()?;
            if connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    fn keep(&self, address: &Arc<str>, connection: Connection) {
        let mut kept = self.kept.borrow_mut();
        let connections = kept.entry(Arc::clone(address)).or_default();
        if connections.len() < KEPT_MAX && !connection.is_closed() {
            connections.push(connection);
        }
    }
}

fn lost(error: &hyper::Error) -> RequestError {
    RequestError::Unknown(error.to_string())
}

async fn connect(address: &Arc<str>) -> Result<Connection, RequestError> {
    let not_sent = |text: String| RequestError::NotSent(text);
    let stream = match timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(&**address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(format!("cannot connect to {address}: {error}"))),
        Err(_) => return Err(not_sent(format!("cannot connect to {address} within {CONNECT_MS} ms"))),
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "could not set TCP_NODELAY");
    }
    let (connection, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(error:% = error; "kept connection ended");
        }
    });
    Ok(connection)
}
