//! Accepts connections of other instances and receives their messages.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::bytes::Bytes;

use super::shared::{Reader, Shared, Writer, split};
use super::{ConnectionError, KEEPALIVE_INTERVAL};

/// Limit on accepted connections at a time: several times the largest number of instances.
const CONNECTIONS_MAX: usize = 64;
/// Pause after a failed accept, for example while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until the task is dropped.
pub(super) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("accepting a peer connection failed: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!("too many peer connections; closed the one from {address}");
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let error = run_connection(stream, &shared).await;
            shared.record_close(&address, &error);
            drop(permit);
        });
    }
}

async fn run_connection(stream: TcpStream, shared: &Shared) -> ConnectionError {
    let (mut reader, mut writer) = match split(stream) {
        Ok(halves) => halves,
        Err(e) => return e,
    };
    tokio::select! {
        result = receive_messages(&mut reader, shared) => close_reason(result),
        result = send_keepalives(&mut writer, shared) => close_reason(result),
    }
}

fn close_reason(result: Result<(), ConnectionError>) -> ConnectionError {
    match result {
        Ok(()) => ConnectionError::Closed,
        Err(e) => e,
    }
}

async fn receive_messages(reader: &mut Reader, shared: &Shared) -> Result<(), ConnectionError> {
    let sender = reader.read_hello(shared).await?;
    loop {
        let decoded = reader.next_frame(shared).await?;
        shared.deliver(decoded.into_received(&sender)?);
    }
}

async fn send_keepalives(writer: &mut Writer, shared: &Shared) -> Result<(), ConnectionError> {
    writer.feed(shared.own_hello.encode().into(), shared).await?;
    loop {
        writer.flush().await?;
        sleep(KEEPALIVE_INTERVAL).await;
        writer.feed(Bytes::new(), shared).await?;
    }
}
