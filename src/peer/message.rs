//! What instances tell each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::name::{EndpointName, InstanceName, JobId, PoolName};

/// Who speaks; the first frame in each direction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Differs between two starts of it.
    pub boot: String,
}

/// What an instance knows of the configuration and the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Number of the newest ticket that it knows.
    pub ticket: u64,
    /// Whether it reaches the table.
    pub table: bool,
    /// Whether its session is live.
    pub session: bool,
}

/// A hint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// State of the sender.
    Head(Head),
    /// A pool has a new or cancelled job.
    Wake {
        /// The pool.
        pool: PoolName,
        /// The job.
        job: JobId,
    },
    /// A job has ended.
    Ended(JobId),
    /// Calls in flight from all instances, as endpoints reported them to the sender; endpoints left out are unchanged.
    Load(BTreeMap<EndpointName, u32>),
}

/// A message as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Who sent it.
    pub from: Hello,
    /// What.
    pub message: Message,
    /// When it was read from the connection.
    pub read: Instant,
}

impl ReceivedMessage {
    /// Time since it was read. A process that was paused finds old events in its channel.
    pub fn age(&self) -> Duration {
        self.read.elapsed()
    }
}

/// Who gets a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient<'a> {
    /// Every peer.
    All,
    /// The peer of this name; dropped if there is none.
    One(&'a InstanceName),
}
