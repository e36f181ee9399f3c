//! Requests to workers.

use crate::name::WorkerName;
use crate::platform::{Address, Batch, Reply, Report, WorkerError, Workers};

/// What a worker is asked.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestBody {
    /// Carry out commands.
    Commands(Batch),
    /// Report.
    Report,
}

/// A request to one worker. At most one is under way for each worker, so that their order is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The worker.
    pub worker: WorkerName,
    /// Where it is.
    pub address: Address,
    /// What it is asked.
    pub body: RequestBody,
}

/// A worker's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// One reply for each command.
    Replies(Vec<Reply>),
    /// A report.
    Report(Report),
}

impl Request {
    /// Sends the request and waits for its answer.
    pub fn carry_out(&self, workers: &dyn Workers) -> Result<Answer, WorkerError> {
        match &self.body {
            RequestBody::Commands(batch) => workers.command(self.address, batch).map(Answer::Replies),
            RequestBody::Report => workers.report(self.address).map(Answer::Report),
        }
    }
}
