//! HTTP client with a pool of idle connections for each address.

use std::cell::{Cell, RefCell};
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

/// Limit on the body of a response, in bytes.
const RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Timeout of a connection attempt, in milliseconds: three times the longest round trip between regions.
const CONNECT_TIMEOUT_MS: u64 = 800;

/// Limit on idle connections to one address.
const IDLE_CONNECTIONS_PER_ADDRESS_MAX: usize = 8;

/// Failure of a request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request was not sent.
    #[error("{0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("{0}")]
    Unknown(String),
}

/// Response to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Whether the status says that nothing was done. Other failures may come after the request was carried out.
    pub fn is_refusal(&self) -> bool {
        self.status.is_client_error() || self.status == StatusCode::SERVICE_UNAVAILABLE
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// HTTP client that reuses its connections.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<BTreeMap<Arc<str>, Vec<Connection>>>>,
}

impl Client {
    /// Sends a request and reads the complete response within `time_limit`.
    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Answer, RequestError> {
        let sent = Cell::new(false);
        if let Ok(result) = timeout(time_limit, self.send(address, request, &sent)).await {
            return result;
        }
        // The cause may affect the idle connections to this address as well.
        self.drop_idle(address);
        let time_limit_ms = time_limit.as_millis();
        if sent.get() {
            Err(RequestError::Unknown(format!("no response within {time_limit_ms} ms")))
        } else {
            Err(RequestError::NotSent(format!(
                "no connection to {address} within {time_limit_ms} ms"
            )))
        }
    }

    /// Drops the idle connections to an address.
    pub fn drop_idle(&self, address: &Arc<str>) {
        self.idle.borrow_mut().remove(address);
    }

    /// Sends a request; sets `sent` as long as a part of it may have been written.
    async fn send(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        sent: &Cell<bool>,
    ) -> Result<Answer, RequestError> {
        let (mut connection, reused) = match self.take_idle(address).await {
            Some(connection) => (connection, true),
            None => (connect(address).await?, false),
        };
        sent.set(true);
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                // The server closed the reused connection before the request was written, so it is safe to send it
                // again.
                Some(request) if reused => {
                    sent.set(false);
                    connection = connect(address).await?;
                    sent.set(true);
                    connection
                        .send_request(request)
                        .await
                        .map_err(|error| no_response(&error))?
                }
                Some(_) => return Err(RequestError::NotSent(error.into_error().to_string())),
                None => return Err(no_response(&error.into_error())),
            },
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_BYTES_MAX)
            .collect()
            .await
            .map_err(|error| RequestError::Unknown(error.to_string()))?;
        self.keep_idle(address, connection);
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    async fn take_idle(&self, address: &Arc<str>) -> Option<Connection> {
        loop {
            let mut connection = self.idle.borrow_mut().get_mut(address)?.pop()?;
            if connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    fn keep_idle(&self, address: &Arc<str>, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(Arc::clone(address)).or_default();
        if connections.len() < IDLE_CONNECTIONS_PER_ADDRESS_MAX && !connection.is_closed() {
            connections.push(connection);
        }
    }
}

fn no_response(error: &hyper::Error) -> RequestError {
    RequestError::Unknown(error.to_string())
}

async fn connect(address: &Arc<str>) -> Result<Connection, RequestError> {
    let not_sent = |text: String| RequestError::NotSent(text);
    let stream = match timeout(
        Duration::from_millis(CONNECT_TIMEOUT_MS),
        TcpStream::connect(&**address),
    )
    .await
    {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(format!("cannot connect to {address}: {error}"))),
        Err(_) => {
            return Err(not_sent(format!(
                "cannot connect to {address} within {CONNECT_TIMEOUT_MS} ms"
            )));
        }
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "setting TCP_NODELAY on a client connection failed");
    }
    let (connection, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(error:% = error; "client connection failed");
        }
    });
    Ok(connection)
}
