//! Faults that a link injects.
//!
//! A slow table or endpoint needs no fault of its own: a hook may advance the clock, and step others, before or after a
//! request takes effect.

use serde_json::Value;
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::platform::{Address, Batch, CallPart, CallRequest, Step, Txn};

/// Side of a request on which a hook is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// Nothing was sent yet.
    Before,
    /// The request took effect; its answer is under way.
    After,
}

/// Where a hook is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Point {
    /// Step of the request.
    pub step: Step,
    /// Before or after it took effect.
    pub side: Side,
    /// Endpoint that it goes to, if it goes to one.
    pub endpoint: Option<EndpointName>,
}

/// What a hook wants to happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Go on.
    None,
    /// The request or its answer is lost.
    Cut,
    /// Before a request that changes something: its sender gets no answer, and it takes effect when the link is told to
    /// deliver what it holds back. Other requests are lost.
    Delay,
    /// Before a request: it arrives twice, and the second answer is the one that comes back.
    Repeat,
    /// After a call: its parts arrive like this.
    Parts(PartFault),
}

/// How the parts of a call's answer arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartFault {
    /// The last one first.
    Reversed,
    /// Each one twice.
    Duplicated,
    /// Without the last one.
    Truncated,
    /// Each one after a part of the same number from an older attempt.
    Stale,
}

impl PartFault {
    /// The parts as they arrive.
    pub fn apply(self, mut parts: Vec<CallPart>) -> Vec<CallPart> {
        match self {
            Self::Reversed => parts.reverse(),
            Self::Duplicated => parts = parts.into_iter().flat_map(|part| [part.clone(), part]).collect(),
            Self::Truncated => drop(parts.pop()),
            Self::Stale => parts = parts.into_iter().flat_map(|part| [older(&part), part]).collect(),
        }
        parts
    }
}

/// A part of the same number from the attempt before.
fn older(part: &CallPart) -> CallPart {
    CallPart {
        attempt: part.attempt.saturating_sub(1),
        data: Value::from("older"),
        ..part.clone()
    }
}

/// A request that a link holds back.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Delayed {
    Commit(Txn),
    Object(String, Vec<u8>),
    Command(Address, Batch),
    Call(Address, CallRequest),
    Refuse(Address, JobId, u32),
}
