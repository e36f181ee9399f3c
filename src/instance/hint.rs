//! Hints to other instances.

use std::collections::BTreeMap;

use crate::name::{EndpointName, JobId, PoolName};
use crate::peer::{Head, Message};

/// Notification that saves another instance from waiting for its next poll; a lost one only costs time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Hint {
    /// A job of a pool is new or was cancelled.
    Wake {
        /// The pool.
        pool: PoolName,
        /// The job.
        job: JobId,
    },
    /// A job ended.
    Ended(JobId),
    /// This instance's ticket and whether its session is live.
    Head {
        /// Number of the ticket.
        ticket: u64,
        /// Whether the session is live.
        live: bool,
    },
    /// Calls in flight by endpoint, from all instances, as reported by the endpoints.
    Load(BTreeMap<EndpointName, u32>),
}

impl From<Hint> for Message {
    fn from(hint: Hint) -> Self {
        match hint {
            Hint::Wake { pool, job } => Self::Wake { pool, job },
            Hint::Ended(job) => Self::Ended(job),
            // An instance with a live session counts as reaching the table.
            Hint::Head { ticket, live } => Self::Head(Head {
                ticket,
                table: live,
                session: live,
            }),
            Hint::Load(loads) => Self::Load(loads),
        }
    }
}

impl From<Message> for Hint {
    fn from(message: Message) -> Self {
        match message {
            Message::Wake { pool, job } => Self::Wake { pool, job },
            Message::Ended(job) => Self::Ended(job),
            Message::Head(head) => Self::Head {
                ticket: head.ticket,
                live: head.table || head.session,
            },
            Message::Load(loads) => Self::Load(loads),
        }
    }
}
