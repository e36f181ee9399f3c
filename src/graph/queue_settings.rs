//! Settings of queues that are stored with accepted jobs.

use std::sync::Arc;

use prost::Message;

use crate::port::{AdviceTerms, Queue};

/// Settings of a queue that the execution of its jobs needs, as of a configuration.
///
/// A leader that has never seen a configuration with the queue continues its jobs with them.
#[derive(Clone, PartialEq, Message)]
pub struct QueueSettings {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Pool of endpoints.
    #[prost(string, tag = "2")]
    pub pool: String,
    /// Priority.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    #[prost(uint32, tag = "4")]
    pub attempts: u32,
    /// Target time as a multiple of the critical path.
    #[prost(double, tag = "5")]
    pub stretch: f64,
    /// Constant part of the target time, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub slack_ms: u64,
    /// Terms of the advice service, if starts need a ticket.
    #[prost(message, optional, tag = "7")]
    pub advice: Option<AdviceSettings>,
}

/// Terms of the advice service, as they are stored.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AdviceSettings {
    /// Time that a decision takes, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub decide_ms: u64,
    /// Time that each endpoint of the query adds, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub period_ms: u64,
    /// Validity of a ticket, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
}

impl QueueSettings {
    /// Settings of a queue in a configuration of this version.
    pub fn of(queue: &Queue, config_version: u64) -> Self {
        Self {
            config_version,
            pool: queue.pool.to_string(),
            priority: queue.priority,
            attempts: queue.attempts,
            stretch: queue.stretch,
            slack_ms: queue.slack_ms,
            advice: queue.advice.map(|terms| AdviceSettings {
                decide_ms: terms.decide_ms,
                period_ms: terms.period_ms,
                valid_ms: terms.valid_ms,
            }),
        }
    }

    /// The queue with these settings, which callers cannot reach any more.
    pub fn queue(&self, name: &str) -> Queue {
        Queue {
            name: Arc::from(name),
            host: Arc::from(""),
            prefix: Arc::from(""),
            pool: Arc::from(&*self.pool),
            priority: self.priority,
            attempts: self.attempts,
            stretch: self.stretch,
            slack_ms: self.slack_ms,
            open: false,
            advice: self.advice.map(|terms| AdviceTerms {
                decide_ms: terms.decide_ms,
                period_ms: terms.period_ms,
                valid_ms: terms.valid_ms,
            }),
        }
    }
}
