//! Connection that this instance dials and sends on.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;

use super::send_queue::Outbox;
use super::shared::{Reader, Shared, Writer, split};
use super::{FrameError, KEEPALIVE, PATIENCE};
use crate::name::InstanceName;

/// First and greatest pause between two tries.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Dials a peer again and again, and sends what its outbox holds.
pub(super) async fn run(name: InstanceName, outbox: Arc<Outbox>, shared: Arc<Shared>) {
    let mut pause = BACKOFF_MIN;
    loop {
        match timeout(PATIENCE, TcpStream::connect(outbox.address)).await {
            Ok(Ok(stream)) => {
                let mut greeted = false;
                let error = talk(stream, &name, &outbox, &shared, &mut greeted).await;
                shared.closed(&name, &error);
                if greeted {
                    pause = BACKOFF_MIN;
                }
            }
            Ok(Err(e)) => log::debug!("peer {name} at {} cannot be reached: {e}", outbox.address),
            Err(_) => log::debug!("peer {name} at {} does not answer", outbox.address),
        }
        // Half to one and a half times the pause, so that instances do not dial a restarted one all at once.
        sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        pause = (pause * 2).min(BACKOFF_MAX);
    }
}

async fn talk(
    stream: TcpStream,
    name: &InstanceName,
    outbox: &Outbox,
    shared: &Shared,
    greeted: &mut bool,
) -> FrameError {
    let (mut reader, mut writer) = match greet(stream, name, shared).await {
        Ok(halves) => halves,
        Err(e) => return e,
    };
    *greeted = true;
    tokio::select! {
        error = listen(&mut reader, shared) => error,
        error = write(&mut writer, outbox, shared) => error,
    }
}

/// Exchanges `Hello`, so that no message goes to another instance that has taken over the address.
async fn greet(stream: TcpStream, name: &InstanceName, shared: &Shared) -> Result<(Reader, Writer), FrameError> {
    let (mut reader, mut writer) = split(stream)?;
    writer.feed(shared.me.encode().into(), shared).await?;
    writer.flush().await?;
    let hello = reader.hello(shared).await?;
    if hello.instance != *name {
        return Err(FrameError::Stranger(hello.instance.to_string()));
    }
    Ok((reader, writer))
}

/// Waits for the end of the connection; only empty frames come this way.
async fn listen(reader: &mut Reader, shared: &Shared) -> FrameError {
    match reader.next(shared).await {
        Ok(_) => FrameError::Order,
        Err(e) => e,
    }
}

async fn write(writer: &mut Writer, outbox: &Outbox, shared: &Shared) -> FrameError {
    let result: Result<(), FrameError> = async {
        loop {
            while let Some(frame) = outbox.pop(&shared.dropped) {
                writer.feed(frame, shared).await?;
            }
            writer.flush().await?;
            if timeout(KEEPALIVE, outbox.wait()).await.is_err() {
                writer.feed(Bytes::new(), shared).await?;
            }
        }
    }
    .await;
    match result {
        Ok(()) => FrameError::Closed,
        Err(e) => e,
    }
}
