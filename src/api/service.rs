//! Processing of one request on a thread that may block.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;

use super::limiter::Rejection;
use super::{ApiError, ApiResponse, Code, Handler, RequestLimiter, Route};
use crate::config::Limits;
use crate::metric::{ConnectionMetrics, Metrics};
use crate::net::Refusal;
use crate::trace::{Span, Tracer};

/// What the processing of requests needs; shared by all requests.
#[derive(Debug)]
pub(super) struct Service {
    pub handler: Arc<dyn Handler>,
    pub limits: Limits,
    pub limiter: Arc<RequestLimiter>,
    pub connections: ConnectionMetrics,
    pub metrics: Arc<Metrics>,
    pub tracer: Tracer,
}

impl Service {
    /// Executes a request that was admitted.
    pub fn run(&self, route: &Route, body: &[u8], span: &Span) -> ApiResponse {
        let execute = || self.execute(route, body, span);
        // A panic in the handler must fail only this request. Its caller is told that the result is unknown.
        let result = catch_unwind(AssertUnwindSafe(execute)).unwrap_or_else(|_| {
            Err(ApiError::new(
                Code::Unknown,
                "An internal error occurred while this request ran. Send it again with the same id.",
            ))
        });
        result.unwrap_or_else(|e| ApiResponse::error(&e))
    }

    /// The response to a request that is answered from memory.
    pub fn local_response(&self, route: &Route) -> ApiResponse {
        match route {
            Route::Metrics => {
                let held = self.connections.body_bytes.get();
                self.metrics.set_held_bytes(held.max(0).cast_unsigned());
                ApiResponse::metrics(self.metrics.text())
            }
            Route::Status => ApiResponse::json(200, &self.handler.status()),
            Route::Ready if self.limiter.is_draining() => ApiResponse::json(503, &json!({ "ready": false })),
            Route::Ready if !self.handler.is_ready() => ApiResponse::json(503, &json!({ "ready": false })),
            Route::Ready => ApiResponse::json(200, &json!({ "ready": true })),
            _ => ApiResponse::json(200, &json!({ "alive": true })),
        }
    }

    /// The error for a request that did not arrive as it should, which is counted.
    pub fn refusal_error(&self, refusal: &Refusal) -> ApiError {
        let limits = &self.limits;
        match refusal {
            Refusal::TooLarge => ApiError::new(
                Code::TooLarge,
                format!(
                    "The body is larger than {} bytes. Put large input into the object store and name it in the payload.",
                    limits.body_bytes
                ),
            ),
            Refusal::TooSlow => ApiError::new(
                Code::BadRequest,
                format!("The body did not arrive within {} ms.", limits.header_ms),
            ),
            Refusal::Unreadable(cause) => {
                ApiError::new(Code::BadRequest, format!("The body cannot be read in full: {cause}."))
            }
            Refusal::Overloaded => {
                self.metrics.count_refused_body();
                busy("The bodies of other requests use up `limits.held_bytes`.")
            }
            Refusal::Evicted => {
                self.metrics.count_evicted_body();
                self.metrics.count_refused_body();
                busy("The body arrived slowly and gave way to other requests.")
            }
        }
    }

    fn execute(&self, route: &Route, body: &[u8], span: &Span) -> Result<ApiResponse, ApiError> {
        let handler = &self.handler;
        match route {
            Route::Submit(id) => {
                span.set("job", id);
                let start = Instant::now();
                let view = handler.submit(id, body, Some(&span.traceparent()))?;
                // A call has no pool, and its response is sent when it has ended.
                if view.pool.is_none() && view.outcome.is_some() {
                    self.metrics.observe_call(start.elapsed());
                }
                span.set("attempt", &view.attempt);
                Ok(ApiResponse::json(200, &view))
            }
            Route::Job(id, wait) => {
                span.set("job", id);
                Ok(ApiResponse::json(200, &handler.job(id, *wait)?))
            }
            Route::Cancel(id) => {
                span.set("job", id);
                Ok(ApiResponse::json(200, &handler.cancel(id)?))
            }
            Route::PutTicket(number) => {
                span.set("ticket", number);
                Ok(ApiResponse::json(200, &handler.put_ticket(*number, body)?))
            }
            Route::Ticket(number) => {
                span.set("ticket", number);
                Ok(ApiResponse::json(200, &handler.ticket(*number)?))
            }
            Route::Config => Ok(ApiResponse::json(200, &handler.catalog()?)),
            Route::Status | Route::Health | Route::Ready | Route::Metrics => Ok(self.local_response(route)),
        }
    }
}

/// The error for a request that the limiter does not admit.
pub(super) fn rejection_error(rejection: Rejection, route: &Route) -> ApiError {
    let mut error = match rejection {
        Rejection::Full => busy("This instance has reached its limit of requests."),
        Rejection::Draining => ApiError::new(
            Code::Draining,
            "This instance is shutting down. This request was not run; send it to another instance.",
        ),
    };
    // The rejection of a lookup or cancellation says nothing about whether the job itself ran.
    error.not_run = route.has_body();
    error
}

fn busy(reason: &str) -> ApiError {
    let message = format!("{reason} This request was not run; send it again in a second.");
    ApiError::new(Code::Busy, message)
}
