//! The mesh as its owner sees it.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::task;
use tokio_util::bytes::Bytes;

use super::send_queue::Outbox;
use super::shared::Shared;
use super::{Counts, Hello, Message, PeerError, ReceivedMessage, Recipient, acceptor, dialer};
use crate::name::InstanceName;
use crate::platform::Address;

type Outboxes = BTreeMap<InstanceName, Arc<Outbox>>;

/// Connections with all peers, run by one thread.
#[derive(Debug)]
pub struct Mesh {
    address: Address,
    shared: Arc<Shared>,
    /// Sends the peers to dial; closing it ends the thread.
    changes: mpsc::UnboundedSender<Outboxes>,
    thread: JoinHandle<()>,
}

impl Mesh {
    /// Listens for peers. Events go to `inbound`; if that is full, new ones are dropped and counted.
    pub fn start(listen: Address, me: Hello, inbound: flume::Sender<ReceivedMessage>) -> Result<Self, PeerError> {
        let failed = |source| PeerError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let shared = Arc::new(Shared::new(me, inbound));
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(PeerError::Thread)?;
        let (changes, receiver) = mpsc::unbounded_channel();
        let state = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || run(&runtime, listener, receiver, &state))
            .map_err(PeerError::Thread)?;
        Ok(Self {
            address,
            shared,
            changes,
            thread,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Sets the peers to send to. Connections with peers that stay are kept; this instance itself is left out.
    pub fn set_peers(&self, peers: Vec<(InstanceName, Address)>) {
        let mut outboxes = self.shared.outboxes();
        let mut next = Outboxes::new();
        for (name, address) in peers {
            if name == self.shared.me.instance {
                continue;
            }
            let outbox = match outboxes.get(&name) {
                Some(outbox) if outbox.address == address => Arc::clone(outbox),
                _ => Arc::new(Outbox::new(address)),
            };
            next.insert(name, outbox);
        }
        outboxes.clone_from(&next);
        // The thread ends only with the mesh.
        drop(self.changes.send(next));
    }

    /// Queues a message for one peer or for all.
    pub fn send(&self, to: Recipient<'_>, message: &Message) {
        let outboxes = self.shared.outboxes();
        for frame in message.encode() {
            let frame = Bytes::from(frame);
            for (name, outbox) in outboxes.iter() {
                if to == Recipient::All || to == Recipient::One(name) {
                    outbox.push(frame.clone(), &self.shared.dropped);
                }
            }
        }
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Closes all connections and ends the thread.
    pub fn stop(self) {
        drop(self.changes);
        if self.thread.join().is_err() {
            log::error!("the thread for peers has panicked");
        }
    }
}

fn run(runtime: &Runtime, listener: TcpListener, mut changes: mpsc::UnboundedReceiver<Outboxes>, shared: &Arc<Shared>) {
    runtime.block_on(async {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("the thread for peers cannot start: {e}");
                return;
            }
        };
        task::spawn(acceptor::run(listener, Arc::clone(shared)));
        let mut links = BTreeMap::new();
        while let Some(outboxes) = changes.recv().await {
            reconcile(&mut links, outboxes, shared);
        }
    });
}

type Links = BTreeMap<InstanceName, (Arc<Outbox>, task::JoinHandle<()>)>;

fn reconcile(links: &mut Links, outboxes: Outboxes, shared: &Arc<Shared>) {
    links.retain(|name, (outbox, link)| {
        let stays = outboxes.get(name).is_some_and(|next| Arc::ptr_eq(next, outbox));
        if !stays {
            link.abort();
        }
        stays
    });
    for (name, outbox) in outboxes {
        if links.contains_key(&name) {
            continue;
        }
        let task = task::spawn(dialer::run(name.clone(), Arc::clone(&outbox), Arc::clone(shared)));
        links.insert(name, (outbox, task));
    }
}
