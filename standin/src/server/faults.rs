//! Injection of faults into the answers of a server.

use std::sync::{Mutex, PoisonError};
use std::thread;

use rouille::Response;
use serde::{Deserialize, Serialize};
use yuccaridge::platform::http::wire::ErrorCode;
use yuccaridge::time::Millis;

use super::reply::{HandlerResult, broken_connection, error_body, into_response};

/// Requests that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Reads of the table.
    Reads,
    /// Transactions on the table.
    Commits,
    /// Requests to the object store.
    Objects,
    /// Requests for the list.
    List,
    /// Commands to an endpoint.
    Commands,
    /// Reports of an endpoint.
    Reports,
    /// Calls to an endpoint.
    Calls,
    /// Requests to an endpoint to refuse a call.
    Refusals,
}

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mishap", rename_all = "snake_case")]
pub enum FaultKind {
    /// The request is answered with `unavailable` and has no effect.
    Outage,
    /// The connection breaks before the request takes effect.
    Cut,
    /// The connection breaks after the request took effect.
    Lost,
    /// The request takes effect after a delay.
    Delay {
        /// Delay.
        by: Millis,
    },
    /// The request takes effect at once, but its answer is delayed.
    Late {
        /// Delay.
        by: Millis,
    },
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFault {
    /// Requests that it affects.
    pub target: Target,
    /// Kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
    /// Number of requests that it affects; if absent, all until the faults are cleared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
}

/// Active faults of a server, the newest first.
#[derive(Debug, Default)]
pub struct Faults(Mutex<Vec<InjectedFault>>);

impl Faults {
    /// Adds a fault.
    pub fn add(&self, fault: InjectedFault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(0, fault);
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Finds the newest fault for a target and counts this request against its limit.
    fn take(&self, target: Target) -> Option<FaultKind> {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let index = faults.iter().position(|fault| fault.target == target)?;
        let kind = faults[index].kind;
        if let Some(count) = &mut faults[index].count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                faults.remove(index);
            }
        }
        Some(kind)
    }

    /// Handles a request with `f`, subject to the newest fault for its target, if any.
    pub fn apply<F>(&self, target: Target, f: F) -> Response
    where
        F: FnOnce() -> HandlerResult,
    {
        match self.take(target) {
            None => into_response(f()),
            Some(FaultKind::Outage) => into_response(Err(error_body(ErrorCode::Unavailable, "out of service"))),
            Some(FaultKind::Cut) => broken_connection(),
            Some(FaultKind::Lost) => {
                drop(f());
                broken_connection()
            }
            Some(FaultKind::Delay { by }) => {
                thread::sleep(by.duration());
                into_response(f())
            }
            Some(FaultKind::Late { by }) => {
                let answer = f();
                thread::sleep(by.duration());
                into_response(answer)
            }
        }
    }
}
