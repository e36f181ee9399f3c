//! Error for a job of an unknown queue.

use thiserror::Error;

/// The configuration of the leader has no such queue.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("queue {0:?} does not exist in the configuration of the leader")]
pub struct UnknownQueue(pub String);
