//! What a run leaves for the checker: the endpoints' record, what callers and operators were told, the table's rows.

use std::collections::{BTreeMap, BTreeSet};

use standin::record::Entry;
use yuccaridge::api::{ApiError, JobView, TicketView};
use yuccaridge::job::JobRow;
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::row::TicketLogRow;
use yuccaridge::time::Millis;

/// What a request asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// An answer, or that there was none.
#[derive(Debug, Clone)]
pub enum Response {
    Job {
        at: Millis,
        id: JobId,
        request: RequestKind,
        result: Result<JobView, ApiError>,
    },
    Ticket {
        at: Millis,
        number: u64,
        digest: String,
        result: Result<TicketView, ApiError>,
    },
    /// The connection broke; `planned` if the instance left by itself.
    Disconnected { at: Millis, id: String, planned: bool },
}

/// A ticket number as one instance used it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketUse {
    pub at: Millis,
    pub instance: usize,
    pub number: u64,
}

/// A job as its caller asked for it.
#[derive(Debug, Clone)]
pub struct ExpectedJob {
    pub idempotent: bool,
    pub answer: serde_json::Value,
}

/// All that the checker may judge by.
#[derive(Debug, Default, Clone)]
pub struct Evidence {
    pub record: Vec<Entry>,
    pub responses: Vec<Response>,
    pub ticket_uses: Vec<TicketUse>,
    pub expected: BTreeMap<JobId, ExpectedJob>,
    pub rows: BTreeMap<JobId, JobRow>,
    pub ticket_log: BTreeMap<u64, TicketLogRow>,
    /// When the list first showed an endpoint as leaving.
    pub leaving_since: BTreeMap<EndpointName, Millis>,
    /// Jobs that must have started, such as the gang of a reclaim.
    pub must_start: BTreeSet<JobId>,
    /// Jobs inside a guarantee, which no reclaim may stop.
    pub guaranteed: BTreeSet<JobId>,
    pub end: Millis,
}
