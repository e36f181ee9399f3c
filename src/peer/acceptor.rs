//! Connections that other instances dial, on which this one receives.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::bytes::Bytes;

use super::shared::{Reader, Shared, Writer, split};
use super::{FrameError, KEEPALIVE};

/// Connections at once: several times the largest number of instances.
const CONNECTIONS_MAX: usize = 64;
/// Pause after a failure to accept, such as a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections for ever.
pub(super) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    let free = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("a peer connection cannot be accepted: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&free).try_acquire_owned() else {
            log::warn!("too many peer connections; the one from {address} is closed");
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let error = talk(stream, &shared).await;
            shared.closed(&address, &error);
            drop(permit);
        });
    }
}

async fn talk(stream: TcpStream, shared: &Shared) -> FrameError {
    let (mut reader, mut writer) = match split(stream) {
        Ok(halves) => halves,
        Err(e) => return e,
    };
    tokio::select! {
        result = read(&mut reader, shared) => ended(result),
        result = write(&mut writer, shared) => ended(result),
    }
}

fn ended(result: Result<(), FrameError>) -> FrameError {
    match result {
        Ok(()) => FrameError::Closed,
        Err(e) => e,
    }
}

async fn read(reader: &mut Reader, shared: &Shared) -> Result<(), FrameError> {
    let sender = reader.hello(shared).await?;
    loop {
        let decoded = reader.next(shared).await?;
        shared.deliver(decoded.into_event(&sender)?);
    }
}

async fn write(writer: &mut Writer, shared: &Shared) -> Result<(), FrameError> {
    writer.feed(shared.me.encode().into(), shared).await?;
    loop {
        writer.flush().await?;
        sleep(KEEPALIVE).await;
        writer.feed(Bytes::new(), shared).await?;
    }
}
