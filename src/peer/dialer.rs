//! Dials one peer and sends the messages queued for it.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;

use super::send_queue::SendQueue;
use super::shared::{Reader, Shared, Writer, split};
use super::{ConnectionError, IO_TIMEOUT, KEEPALIVE_INTERVAL};
use crate::name::InstanceName;

/// Pause after the first failed attempt to connect; each further one doubles it.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to connect.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Sends the frames of `queue` to a peer, reconnecting with exponential backoff until the task is aborted.
pub(super) async fn run(name: InstanceName, queue: Arc<SendQueue>, shared: Arc<Shared>) {
    let mut backoff = BACKOFF_MIN;
    loop {
        match timeout(IO_TIMEOUT, TcpStream::connect(queue.address)).await {
            Ok(Ok(stream)) => {
                let mut handshake_done = false;
                let error = run_connection(stream, &name, &queue, &shared, &mut handshake_done).await;
                shared.record_close(&name, &error);
                if handshake_done {
                    backoff = BACKOFF_MIN;
                }
            }
            Ok(Err(e)) => log::debug!("connecting to peer {name} at {} failed: {e}", queue.address),
            Err(_) => log::debug!("connecting to peer {name} at {} timed out", queue.address),
        }
        // Random factor of 0.5 to 1.5, so that the instances do not all dial a restarted one at once.
        sleep(backoff.mul_f64(rand::random_range(0.5..1.5))).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

async fn run_connection(
    stream: TcpStream,
    name: &InstanceName,
    queue: &SendQueue,
    shared: &Shared,
    handshake_done: &mut bool,
) -> ConnectionError {
    let (mut reader, mut writer) = match handshake(stream, name, shared).await {
        Ok(halves) => halves,
        Err(e) => return e,
    };
    *handshake_done = true;
    tokio::select! {
        error = wait_for_close(&mut reader, shared) => error,
        error = send_frames(&mut writer, queue, shared) => error,
    }
}

/// Exchanges `Hello` and checks the name, so that no message goes to another instance that has taken over the address.
async fn handshake(
    stream: TcpStream,
    name: &InstanceName,
    shared: &Shared,
) -> Result<(Reader, Writer), ConnectionError> {
    let (mut reader, mut writer) = split(stream)?;
    writer.feed(shared.own_hello.encode().into(), shared).await?;
    writer.flush().await?;
    let hello = reader.read_hello(shared).await?;
    if hello.instance != *name {
        return Err(ConnectionError::WrongInstance(hello.instance.to_string()));
    }
    Ok((reader, writer))
}

/// Reads until the connection ends; the accepting side sends only empty frames after its `Hello`.
async fn wait_for_close(reader: &mut Reader, shared: &Shared) -> ConnectionError {
    match reader.next_frame(shared).await {
        Ok(_) => ConnectionError::UnexpectedFrame,
        Err(e) => e,
    }
}

async fn send_frames(writer: &mut Writer, queue: &SendQueue, shared: &Shared) -> ConnectionError {
    let result: Result<(), ConnectionError> = async {
        loop {
            while let Some(frame) = queue.pop(&shared.dropped) {
                writer.feed(frame, shared).await?;
            }
            writer.flush().await?;
            if timeout(KEEPALIVE_INTERVAL, queue.wait_for_frame()).await.is_err() {
                writer.feed(Bytes::new(), shared).await?;
            }
        }
    }
    .await;
    match result {
        Ok(()) => ConnectionError::Closed,
        Err(e) => e,
    }
}
