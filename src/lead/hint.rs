//! Hints to the leader about new rows in the intake table.
//!
//! The leader learns of accepted jobs from the store's change feed, which may deliver nothing for a second while the
//! store drops its history. The instance that accepted a job therefore sends the key of its row to the leader in a
//! datagram. The leader reads the row unless the feed has delivered it meanwhile. A hint holds nothing but the key, so
//! that forged or repeated hints have no effect, and a lost one only costs time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use prost::Message;
use tokio::net::UdpSocket;

/// Largest encoded hint, in bytes; a key has at most 18 characters.
const HINT_BYTES_MAX: usize = 64;

/// Most hints that wait in each queue. Further hints are dropped; the change feed delivers their rows.
const QUEUED_HINTS_MAX: usize = 256;

/// Content of a datagram with a hint.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hint {
    /// Key of a row in the intake table.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// Queues through which an instance sends and receives hints.
#[derive(Debug)]
pub struct Hints {
    /// Address at which this instance receives hints, `host:port`.
    address: Arc<str>,
    /// Address at which the leader receives hints, from its latest heartbeat.
    leader_address: RefCell<Option<Arc<str>>>,
    outgoing: flume::Sender<(Arc<str>, Arc<str>)>,
    incoming: flume::Receiver<Arc<str>>,
}

/// Network side of the queues of [`Hints`], for [`serve_hints`].
#[derive(Debug)]
pub struct HintQueues {
    /// Destination address and key of each hint to send.
    pub outgoing: flume::Receiver<(Arc<str>, Arc<str>)>,
    /// Keys of received hints.
    pub incoming: flume::Sender<Arc<str>>,
}

impl Hints {
    /// Creates the queues of an instance that receives hints at `address`.
    pub fn new(address: Arc<str>) -> (Rc<Self>, HintQueues) {
        let (to_send, outgoing) = flume::bounded(QUEUED_HINTS_MAX);
        let (incoming, to_read) = flume::bounded(QUEUED_HINTS_MAX);
        let hints = Self {
            address,
            leader_address: RefCell::default(),
            outgoing: to_send,
            incoming: to_read,
        };
        (Rc::new(hints), HintQueues { outgoing, incoming })
    }

    /// Address at which this instance receives hints, `host:port`.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    /// Address at which the leader receives hints and offers; `None` if it is not known, or this instance leads.
    pub fn leader(&self) -> Option<Arc<str>> {
        let leader = self.leader_address.borrow().clone();
        leader.filter(|address| *address != self.address)
    }

    /// Sets the address at which the leader receives hints; empty if there is none.
    pub fn set_leader(&self, address: &str) {
        let mut leader_address = self.leader_address.borrow_mut();
        if leader_address.as_deref() != Some(address) {
            *leader_address = (!address.is_empty()).then(|| Arc::from(address));
        }
    }

    /// Queues a hint to the leader that the row of `key` was written.
    pub fn send(&self, key: &str) {
        let Some(leader_address) = self.leader_address.borrow().clone() else {
            return;
        };
        if self.outgoing.try_send((leader_address, Arc::from(key))).is_err() {
            log::debug!(key; "queue of outgoing hints is full; dropping a hint");
        }
    }

    /// Waits for the key of the next hint; `None` once no hints can be received.
    pub async fn next(&self) -> Option<Arc<str>> {
        self.incoming.recv_async().await.ok()
    }
}

/// Sends and receives hints as datagrams until [`Hints`] is dropped.
pub async fn serve_hints(socket: UdpSocket, queues: HintQueues) {
    let mut buffer = [0; HINT_BYTES_MAX];
    loop {
        tokio::select! {
            next = queues.outgoing.recv_async() => {
                let Ok((to, key)) = next else { return };
                send_datagram(&socket, &to, &key).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive_datagram(&buffer[..length], &queues.incoming),
                Err(error) => log::debug!(error:% = error; "cannot receive a hint"),
            },
        }
    }
}

async fn send_datagram(socket: &UdpSocket, to: &str, key: &str) {
    let Ok(to) = to.parse::<SocketAddr>() else {
        log::warn!(to; "the leader's address for hints is not an IP address and port");
        return;
    };
    let hint = Hint { key: key.to_owned() };
    if let Err(error) = socket.send_to(&hint.encode_to_vec(), to).await {
        log::debug!(key, error:% = error; "cannot send a hint");
    }
}

fn receive_datagram(bytes: &[u8], incoming: &flume::Sender<Arc<str>>) {
    let Ok(hint) = Hint::decode(bytes) else {
        log::debug!("cannot decode a received hint");
        return;
    };
    if incoming.try_send(Arc::from(hint.key)).is_err() {
        log::debug!("queue of received hints is full; dropping a hint");
    }
}
