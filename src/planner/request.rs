//! Requests to endpoints.

use crate::name::EndpointName;
use crate::platform::{Address, Batch, EndpointError, Endpoints, Reply, Report};

/// Content of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestBody {
    /// Commands to execute.
    Commands(Batch),
    /// Request for a report.
    Report,
}

/// A request to one endpoint. At most one is in flight for each endpoint, so that their order is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Address of the endpoint.
    pub address: Address,
    /// Content.
    pub body: RequestBody,
}

/// An endpoint's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// One reply for each command.
    Replies(Vec<Reply>),
    /// A report.
    Report(Report),
}

impl Request {
    /// Sends the request and waits for its answer.
    pub fn send(&self, endpoints: &dyn Endpoints) -> Result<Answer, EndpointError> {
        match &self.body {
            RequestBody::Commands(batch) => endpoints.command(self.address, batch).map(Answer::Replies),
            RequestBody::Report => endpoints.report(self.address).map(Answer::Report),
        }
    }
}
