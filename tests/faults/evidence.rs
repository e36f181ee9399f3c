//! What the checker reads after a run: the endpoints' record, the responses to callers and operators, the table's rows.

use std::collections::{BTreeMap, BTreeSet};

use standin::record::Entry;
use yuccaridge::api::{ApiError, JobView, TicketView};
use yuccaridge::job::JobRow;
use yuccaridge::name::{EndpointName, JobId};
use yuccaridge::row::TicketLogRow;
use yuccaridge::time::Millis;

/// Kind of a request about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// The result of a request as its client saw it.
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
    /// The connection broke; `planned` if the instance left after a drain.
    Disconnected { at: Millis, id: String, planned: bool },
}

/// The ticket that an instance used at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketUse {
    pub at: Millis,
    pub instance: usize,
    pub number: u64,
}

/// The properties and answer of a job that its caller expects.
#[derive(Debug, Clone)]
pub struct ExpectedJob {
    pub idempotent: bool,
    pub answer: serde_json::Value,
}

/// All inputs of the checker.
#[derive(Debug, Default, Clone)]
pub struct Evidence {
    pub record: Vec<Entry>,
    pub responses: Vec<Response>,
    pub ticket_uses: Vec<TicketUse>,
    pub expected: BTreeMap<JobId, ExpectedJob>,
    pub rows: BTreeMap<JobId, JobRow>,
    pub ticket_log: BTreeMap<u64, TicketLogRow>,
    /// Time from which the list shows an endpoint as leaving.
    pub leaving_since: BTreeMap<EndpointName, Millis>,
    /// Jobs that must have started, such as the gang that a reclaim is for.
    pub must_start: BTreeSet<JobId>,
    /// Jobs within a guarantee, which no reclaim may stop.
    pub guaranteed: BTreeSet<JobId>,
    pub end: Millis,
}
