//! Hints to the leader about rows of callers.
//!
//! The leader learns of accepted jobs from the store's feed, and a feed may be silent for a second while the store drops its
//! history. So the instance that took a job tells the leader the key of its row. A hint carries nothing else: the leader
//! reads the row, if the feed has not told of it meanwhile, so that a forged or repeated hint changes nothing, and a lost
//! one costs no more than time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use prost::Message;
use tokio::net::UdpSocket;

/// Largest hint, in bytes; a key has 18 characters.
const HINT_BYTES_MAX: usize = 64;

/// Hints that wait to be sent or read; more are dropped, and the feed tells of their rows.
const WAITING_MAX: usize = 256;

/// A hint as it is sent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hint {
    /// Key of a row.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// What an instance uses to send and to receive hints.
#[derive(Debug)]
pub struct Hints {
    /// Where this instance receives hints, `host:port`.
    address: Arc<str>,
    /// Where the leader receives them, as last heard.
    leader: RefCell<Option<Arc<str>>>,
    outgoing: flume::Sender<(Arc<str>, Arc<str>)>,
    incoming: flume::Receiver<Arc<str>>,
}

/// The other ends of the queues of [`Hints`].
#[derive(Debug)]
pub struct HintQueues {
    /// Address and key of each hint to send.
    pub outgoing: flume::Receiver<(Arc<str>, Arc<str>)>,
    /// Keys that were received.
    pub incoming: flume::Sender<Arc<str>>,
}

impl Hints {
    /// Hints received at `address`, and the queues that a carrier has to serve.
    pub fn new(address: Arc<str>) -> (Rc<Self>, HintQueues) {
        let (sender, outgoing) = flume::bounded(WAITING_MAX);
        let (incoming, receive) = flume::bounded(WAITING_MAX);
        let hints = Self {
            address,
            leader: RefCell::default(),
            outgoing: sender,
            incoming: receive,
        };
        (Rc::new(hints), HintQueues { outgoing, incoming })
    }

    /// Where this instance receives hints, `host:port`.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    /// Notes where the leader receives hints; empty if it takes none.
    pub fn set_leader(&self, address: &str) {
        let mut leader = self.leader.borrow_mut();
        if leader.as_deref() != Some(address) {
            *leader = (!address.is_empty()).then(|| Arc::from(address));
        }
    }

    /// Tells the leader that a row was written.
    pub fn send(&self, key: &str) {
        let Some(leader) = self.leader.borrow().clone() else {
            return;
        };
        if self.outgoing.try_send((leader, Arc::from(key))).is_err() {
            log::debug!(key; "too many hints wait to be sent");
        }
    }

    /// Key of the next row that another instance has told of; `None` if nobody can.
    pub async fn next(&self) -> Option<Arc<str>> {
        self.incoming.recv_async().await.ok()
    }
}

/// Sends and receives hints as datagrams.
pub async fn serve_hints(socket: UdpSocket, queues: HintQueues) {
    let mut buffer = [0; HINT_BYTES_MAX];
    loop {
        tokio::select! {
            next = queues.outgoing.recv_async() => {
                let Ok((to, key)) = next else { return };
                send_datagram(&socket, &to, &key).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&buffer[..length], &queues.incoming),
                Err(error) => log::debug!(error:% = error; "cannot receive a hint"),
            },
        }
    }
}

async fn send_datagram(socket: &UdpSocket, to: &str, key: &str) {
    let Ok(to) = to.parse::<SocketAddr>() else {
        log::warn!(to; "the leader's address for hints is not valid");
        return;
    };
    let hint = Hint { key: key.to_owned() };
    if let Err(error) = socket.send_to(&hint.encode_to_vec(), to).await {
        log::debug!(key, error:% = error; "cannot send a hint");
    }
}

fn receive(bytes: &[u8], incoming: &flume::Sender<Arc<str>>) {
    let Ok(hint) = Hint::decode(bytes) else {
        log::debug!("a hint is unreadable");
        return;
    };
    if incoming.try_send(Arc::from(hint.key)).is_err() {
        log::debug!("too many hints wait to be read");
    }
}
