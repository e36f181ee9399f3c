//! Faults that a [`Link`](crate::fake::Link) injects.
//!
//! A slow table or endpoint needs no fault type: a hook can advance the clock, and run other instances, before or after
//! a request takes effect.

use serde_json::Value;
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::platform::{Address, Batch, CallPart, CallRequest, Step, Txn};

/// Time of a hook call relative to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The request has not been sent yet.
    Before,
    /// The request has taken effect; its answer has not arrived yet.
    After,
}

/// Point at which a hook is called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Point {
    /// Step of the request.
    pub step: Step,
    /// Before or after the request takes effect.
    pub side: Side,
    /// Receiving endpoint, if the request goes to one.
    pub endpoint: Option<EndpointName>,
}

/// Fault chosen by a hook.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The request or its answer is lost.
    Cut,
    /// Before a request that changes state: the sender gets no answer, and the request takes effect on
    /// [`Link::deliver`](crate::fake::Link::deliver). Requests that change nothing are lost.
    Delay,
    /// Before a request: it is delivered twice, and the sender gets the second answer.
    Repeat,
    /// After a call: the parts of its answer are altered.
    Parts(PartFault),
}

/// Fault in the delivery of a call's answer parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartFault {
    /// Parts arrive in reverse order.
    Reversed,
    /// Each part arrives twice.
    Duplicated,
    /// The last part is missing.
    Truncated,
    /// Each part is preceded by one of the previous attempt with the same sequence number.
    Stale,
}

impl PartFault {
    /// Returns the parts as they arrive.
    pub fn apply(self, mut parts: Vec<CallPart>) -> Vec<CallPart> {
        match self {
            Self::Reversed => parts.reverse(),
            Self::Duplicated => parts = parts.into_iter().flat_map(|part| [part.clone(), part]).collect(),
            Self::Truncated => drop(parts.pop()),
            Self::Stale => parts = parts.into_iter().flat_map(|part| [stale_part(&part), part]).collect(),
        }
        parts
    }
}

/// Part of the previous attempt with the same sequence number.
fn stale_part(part: &CallPart) -> CallPart {
    CallPart {
        attempt: part.attempt.saturating_sub(1),
        data: Value::from("older"),
        ..part.clone()
    }
}

/// A request that a link delays.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Delayed {
    Commit(Txn),
    Object(String, Vec<u8>),
    Command(Address, Batch),
    Call(Address, CallRequest),
    Refuse(Address, JobId, u32),
}
