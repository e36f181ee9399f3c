//! Messages between instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::name::{EndpointName, InstanceName, JobId, PoolName};

/// Identity of an instance; the first frame in each direction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Identifies a start of the instance; differs between two starts.
    pub boot: String,
}

/// State of an instance: its configuration and its connection with the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Number of the newest ticket known to the instance.
    pub ticket: u64,
    /// Whether the instance reaches the table.
    pub table: bool,
    /// Whether the session of the instance is live.
    pub session: bool,
}

/// A hint from one instance to another; losing one only costs time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// State of the sender.
    Head(Head),
    /// Wakes the planner of a pool, which has a new or a cancelled job.
    Wake {
        /// Pool of the job.
        pool: PoolName,
        /// Id of the job.
        job: JobId,
    },
    /// A job has ended.
    Ended(JobId),
    /// Calls in flight by endpoint, from all instances, as the endpoints reported them to the sender. Endpoints that
    /// are left out are unchanged.
    Load(BTreeMap<EndpointName, u32>),
}

/// A message with its sender and time of receipt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Sender.
    pub from: Hello,
    /// Message.
    pub message: Message,
    /// Time at which the message was read from the connection.
    pub received_at: Instant,
}

impl ReceivedMessage {
    /// Time since the message was received. A process that was paused finds old messages in its channel.
    pub fn age(&self) -> Duration {
        self.received_at.elapsed()
    }
}

/// Recipient of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient<'a> {
    /// Every peer.
    All,
    /// The peer with this name; the message is dropped if there is none.
    One(&'a InstanceName),
}
