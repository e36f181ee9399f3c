//! Table and endpoint clients with metrics and trace spans.

use std::sync::Arc;

use crate::metric::{Metrics, StepResult};
use crate::name::JobId;
use crate::platform::{
    Action, Address, Batch, CallPart, CallRequest, EndpointError, Endpoints, Key, Page, Refusal, Reply, Report, Row,
    Step, Table, TableError, Txn, Version,
};
use crate::time::Millis;
use crate::trace::{Span, Tracer};

/// Wrapper that counts requests by step and records a span for each that belongs to a job's trace.
#[derive(Debug)]
pub struct Instrumented<T> {
    inner: T,
    metrics: Arc<Metrics>,
    tracer: Tracer,
}

impl<T> Instrumented<T> {
    /// Wraps a client.
    pub fn new(inner: T, metrics: Arc<Metrics>, tracer: Tracer) -> Self {
        Self { inner, metrics, tracer }
    }

    fn count_endpoint_request<R>(&self, step: Step, result: &Result<R, EndpointError>) {
        let step_result = match result {
            Ok(_) => StepResult::ok,
            Err(error) if error.is_unstarted() => StepResult::failed,
            Err(_) => StepResult::unknown,
        };
        self.metrics.count_step(step, step_result);
    }

    fn count_table_request<R>(&self, step: Step, result: &Result<R, TableError>) {
        let step_result = match result {
            Ok(_) => StepResult::ok,
            Err(TableError::Conflict { .. }) => StepResult::conflict,
            Err(error) if error.is_unwritten() => StepResult::failed,
            Err(_) => StepResult::unknown,
        };
        self.metrics.count_step(step, step_result);
    }

    /// Starts a span for each member that a batch prepares; the spans end when the batch is answered.
    fn prepare_spans(&self, batch: &Batch) -> Vec<Span> {
        let mut spans = Vec::new();
        for command in &batch.commands {
            let Action::Prepare { trace: Some(trace), .. } = &command.action else {
                continue;
            };
            let span = self.tracer.start_span("worker_prepare", Some(trace));
            span.set("job", command.job.as_str());
            span.set("member", &command.member);
            spans.push(span);
        }
        spans
    }
}

impl<T> Table for Instrumented<T>
where
    T: Table,
{
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        let result = self.inner.read(keys);
        self.count_table_request(Step::Read, &result);
        result
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        let result = self.inner.scan(prefix, after, limit);
        self.count_table_request(Step::Read, &result);
        result
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        let result = self.inner.commit(txn);
        self.count_table_request(txn.step, &result);
        result
    }
}

impl<T> Endpoints for Instrumented<T>
where
    T: Endpoints,
{
    fn command(&self, address: Address, batch: &Batch) -> Result<Vec<Reply>, EndpointError> {
        let spans = self.prepare_spans(batch);
        let result = self.inner.command(address, batch);
        drop(spans);
        let step = batch
            .commands
            .first()
            .map_or(Step::RenewTasks, |command| command.action.step());
        self.count_endpoint_request(step, &result);
        result
    }

    fn report(&self, address: Address) -> Result<Report, EndpointError> {
        let result = self.inner.report(address);
        self.count_endpoint_request(Step::Report, &result);
        result
    }

    fn call(&self, address: Address, call: &CallRequest, timeout: Millis) -> Result<Vec<CallPart>, EndpointError> {
        let span = self.tracer.start_span("worker_call", call.trace.as_deref());
        span.set("job", call.job.as_str());
        span.set("attempt", &call.attempt);
        let passed = CallRequest {
            trace: Some(span.traceparent()),
            ..call.clone()
        };
        let result = self.inner.call(address, &passed, timeout);
        self.count_endpoint_request(Step::Send, &result);
        result
    }

    fn refuse(&self, address: Address, job: &JobId, attempt: u32) -> Result<Refusal, EndpointError> {
        let result = self.inner.refuse(address, job, attempt);
        self.count_endpoint_request(Step::Refuse, &result);
        result
    }
}
