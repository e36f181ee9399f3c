//! Fixture: events of the soak in virtual time, in the order of their times.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use yuccaridge::dispatch::{Hold, Start, Stop};
use yuccaridge::port::{EndpointEntry, OrderError, Report};

/// An order as a leader sent it.
#[derive(Clone)]
pub enum Order {
    Start(Start, u64),
    Stop(Stop),
    Hold(Arc<str>, Hold),
}

impl Order {
    pub fn endpoint(&self) -> &Arc<str> {
        match self {
            Self::Start(start, _) => &start.endpoint,
            Self::Stop(stop) => &stop.endpoint,
            Self::Hold(endpoint, _) => endpoint,
        }
    }
}

impl Display for Order {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(start, until) => write!(formatter, "start of {} run {} until {until}", start.task, start.run),
            Self::Stop(stop) => write!(formatter, "stop of {} run {}", stop.task, stop.run),
            Self::Hold(_, hold) => write!(formatter, "hold until {:?}, seen {}", hold.lease_end, hold.seen),
        }
    }
}

/// An order on its way to its endpoint.
#[derive(Clone)]
pub struct Message {
    /// Number of the call of the leader that waits for the answer.
    pub call: u64,
    pub order: Order,
    pub fence: u64,
    /// Start time of the incarnation for which it is meant.
    pub born: u64,
    /// When it was sent, the leader had read that the unit of the start is done.
    pub known_done: bool,
    /// Time that the answer takes; `None` if it is lost.
    pub answer_ms: Option<u64>,
}

/// Answer to an order.
pub enum Reply {
    /// To a start or a stop.
    Order(Result<u64, OrderError>),
    /// To a hold.
    Hold(Result<Report, OrderError>),
}

/// What happens at some time.
pub enum Event {
    /// An order reaches its endpoint.
    Deliver(Message),
    /// An endpoint answers a hold that it delayed until now.
    Respond { message: Message, born: u64 },
    /// An answer reaches the leader.
    Answer { call: u64, reply: Reply },
    /// The leader gives up waiting for an answer.
    Timeout { call: u64 },
    /// A crashed endpoint starts again.
    Restart(Arc<str>),
    /// Another endpoint starts at the address of a crashed one, which does not return.
    Replace(Arc<str>),
    /// An endpoint writes its entry to the store.
    Register(Arc<str>),
    /// The store removes the entry of an endpoint.
    Unregister(Arc<str>),
    /// A draining endpoint leaves in order.
    Leave(Arc<str>),
    /// The leader with this number reads a changed entry.
    Entry {
        leader: u64,
        endpoint: Arc<str>,
        entry: Option<EndpointEntry>,
    },
    /// Another leader takes over.
    TakeOver,
}

/// Events by time and, at the same time, in the order in which they were added.
#[derive(Default)]
pub struct Events {
    queue: BTreeMap<(u64, u64), Event>,
    added: u64,
}

impl Events {
    pub fn add(&mut self, at: u64, event: Event) {
        self.added += 1;
        self.queue.insert((at, self.added), event);
    }

    /// Next event that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<Event> {
        let entry = self.queue.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}
