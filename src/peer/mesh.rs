//! Public handle of the mesh.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::task;
use tokio_util::bytes::Bytes;

use super::send_queue::SendQueue;
use super::shared::Shared;
use super::{Counts, Hello, Message, PeerError, ReceivedMessage, Recipient, acceptor, dialer};
use crate::name::InstanceName;
use crate::platform::Address;

type SendQueues = BTreeMap<InstanceName, Arc<SendQueue>>;

/// Connections with all peers, served by one thread.
#[derive(Debug)]
pub struct Mesh {
    address: Address,
    shared: Arc<Shared>,
    /// Passes the set of peers to the thread, which ends when this is dropped.
    peer_changes: mpsc::UnboundedSender<SendQueues>,
    thread: JoinHandle<()>,
}

impl Mesh {
    /// Listens on `listen` and starts the thread. Messages received go to `inbound`; while that is full, new ones are
    /// dropped and counted.
    pub fn start(listen: Address, hello: Hello, inbound: flume::Sender<ReceivedMessage>) -> Result<Self, PeerError> {
        let failed = |source| PeerError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let shared = Arc::new(Shared::new(hello, inbound));
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(PeerError::Thread)?;
        let (peer_changes, receiver) = mpsc::unbounded_channel();
        let state = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || run(&runtime, listener, receiver, &state))
            .map_err(PeerError::Thread)?;
        Ok(Self {
            address,
            shared,
            peer_changes,
            thread,
        })
    }

    /// Address on which the mesh listens.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Sets the peers to send to. Connections with peers whose name and address are unchanged are kept; this instance
    /// itself is skipped.
    pub fn set_peers(&self, peers: Vec<(InstanceName, Address)>) {
        let mut queues = self.shared.queues();
        let mut next = SendQueues::new();
        for (name, address) in peers {
            if name == self.shared.own_hello.instance {
                continue;
            }
            let queue = match queues.get(&name) {
                Some(queue) if queue.address == address => Arc::clone(queue),
                _ => Arc::new(SendQueue::new(address)),
            };
            next.insert(name, queue);
        }
        queues.clone_from(&next);
        // The thread receives until this mesh is stopped.
        drop(self.peer_changes.send(next));
    }

    /// Queues a message for one peer or for all, without blocking.
    pub fn send(&self, to: Recipient<'_>, message: &Message) {
        let queues = self.shared.queues();
        for frame in message.encode() {
            let frame = Bytes::from(frame);
            for (name, queue) in queues.iter() {
                if to == Recipient::All || to == Recipient::One(name) {
                    queue.push(frame.clone(), &self.shared.dropped);
                }
            }
        }
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Closes all connections and ends the thread.
    pub fn stop(self) {
        drop(self.peer_changes);
        if self.thread.join().is_err() {
            log::error!("the thread for peer connections has panicked");
        }
    }
}

fn run(
    runtime: &Runtime,
    listener: TcpListener,
    mut peer_changes: mpsc::UnboundedReceiver<SendQueues>,
    shared: &Arc<Shared>,
) {
    runtime.block_on(async {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("the thread for peer connections cannot register its listener: {e}");
                return;
            }
        };
        task::spawn(acceptor::run(listener, Arc::clone(shared)));
        let mut dialers = BTreeMap::new();
        while let Some(queues) = peer_changes.recv().await {
            reconcile(&mut dialers, queues, shared);
        }
    });
}

type Dialers = BTreeMap<InstanceName, (Arc<SendQueue>, task::JoinHandle<()>)>;

/// Stops the dialers of peers that were removed or have a new address, and starts those of new peers.
fn reconcile(dialers: &mut Dialers, queues: SendQueues, shared: &Arc<Shared>) {
    dialers.retain(|name, (queue, dialer)| {
        let stays = queues.get(name).is_some_and(|next| Arc::ptr_eq(next, queue));
        if !stays {
            dialer.abort();
        }
        stays
    });
    for (name, queue) in queues {
        if dialers.contains_key(&name) {
            continue;
        }
        let task = task::spawn(dialer::run(name.clone(), Arc::clone(&queue), Arc::clone(shared)));
        dialers.insert(name, (queue, task));
    }
}
