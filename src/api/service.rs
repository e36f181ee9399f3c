//! Processing of one request.

use std::mem;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Instant;

use rouille::Request as Head;
use serde_json::json;
use tiny_http::{Request, Response, StatusCode};

use super::limiter::{Permit, Rejection};
use super::{ApiError, ApiResponse, BodyBudget, Code, Handler, HeldBody, RequestLimiter, Route, body};
use crate::config::Limits;
use crate::metric::Metrics;
use crate::trace::{Span, Tracer};

/// What the processing of requests needs; shared by all requests.
#[derive(Debug)]
pub(super) struct Service {
    pub handler: Arc<dyn Handler>,
    pub limits: Limits,
    pub limiter: Arc<RequestLimiter>,
    pub bodies: Arc<BodyBudget>,
    pub metrics: Arc<Metrics>,
    pub tracer: Tracer,
}

impl Service {
    /// Processes a request; runs on a thread of its own.
    pub fn serve(&self, mut request: Request) {
        let start = Instant::now();
        let (mut permit, registered) = self.register();
        if body::content_length(&request).is_some_and(|size| size > body::DISCARD_BYTES_MAX) {
            reject_unread(request);
            return;
        }
        let head = parse_head(&request);
        let wait = head.get_param("wait");
        let route = Route::parse(head.method(), &head.url(), wait.as_deref());
        let name = route.as_ref().map_or("none", Route::name);
        let span = self.tracer.start_span(name, head.header("traceparent"));
        let result = match (registered, route) {
            (_, Err(e)) => Err(e),
            (_, Ok(route)) if route.is_local() => Ok(self.local_response(&route)),
            (Err(rejection), Ok(route)) => Err(rejection_error(rejection, &route)),
            (Ok(()), Ok(route)) => self.read_and_execute(&mut request, &mut permit, &route, &span),
        };
        let response = match result {
            Ok(response) => response,
            Err(e) => ApiResponse::error(&e),
        };
        if !permit.is_admitted() {
            // The rest of the body may take long to arrive.
            permit.release();
            body::discard(&mut request, &self.limits, start);
        }
        span.set("status", &response.status);
        self.metrics.count_request(name, response.status);
        if let Err(e) = request.respond(response.into_http(&span.traceparent())) {
            log::debug!("a response could not be sent: {e}");
        }
        drop(permit);
    }

    /// Counts a request. If too many are in progress, the oldest body that is still arriving loses its place.
    fn register(&self) -> (Permit, Result<(), Rejection>) {
        let (permit, registered) = self.limiter.register();
        if registered != Err(Rejection::Full) {
            return (permit, registered);
        }
        let Some(evicted) = self.bodies.evict_oldest(Instant::now()) else {
            return (permit, registered);
        };
        self.metrics.count_evicted_body();
        self.limiter.release(evicted);
        drop(permit);
        self.limiter.register()
    }

    fn local_response(&self, route: &Route) -> ApiResponse {
        match route {
            Route::Metrics => {
                self.metrics.set_held_bytes(self.bodies.held());
                ApiResponse::metrics(self.metrics.text())
            }
            Route::Status => ApiResponse::json(200, &self.handler.status()),
            Route::Ready if self.limiter.is_draining() => ApiResponse::json(503, &json!({ "ready": false })),
            Route::Ready if !self.handler.is_ready() => ApiResponse::json(503, &json!({ "ready": false })),
            Route::Ready => ApiResponse::json(200, &json!({ "ready": true })),
            _ => ApiResponse::json(200, &json!({ "alive": true })),
        }
    }

    fn read_and_execute(
        &self,
        request: &mut Request,
        permit: &mut Permit,
        route: &Route,
        span: &Span,
    ) -> Result<ApiResponse, ApiError> {
        let body = if route.has_body() {
            Some(self.read_body(request, permit)?)
        } else {
            None
        };
        let body_bytes = body.as_ref().map_or(&[][..], HeldBody::bytes);
        permit.admit().map_err(|rejection| rejection_error(rejection, route))?;
        let execute = || self.execute(route, body_bytes, span);
        // A panic in the handler must fail only this request, not the connection. Its caller is told that the result is
        // unknown.
        match catch_unwind(AssertUnwindSafe(execute)) {
            Ok(result) => result,
            Err(_) => Err(ApiError::new(
                Code::Unknown,
                "An internal error occurred while this request ran. Send it again with the same id.",
            )),
        }
    }

    fn read_body(&self, request: &mut Request, permit: &Permit) -> Result<HeldBody, ApiError> {
        let lease = self.bodies.open(permit.id(), Instant::now());
        let make_room = |size| {
            let Some(evicted) = self.bodies.evict_largest(size, Instant::now()) else {
                return false;
            };
            self.metrics.count_evicted_body();
            self.limiter.release(evicted);
            true
        };
        let result = body::read(request, &self.limits, lease, make_room);
        if result.as_ref().is_err_and(|e| e.code == Code::Busy) {
            self.metrics.count_refused_body();
        }
        result
    }

    fn execute(&self, route: &Route, body_bytes: &[u8], span: &Span) -> Result<ApiResponse, ApiError> {
        let handler = &self.handler;
        match route {
            Route::Submit(id) => {
                span.set("job", id);
                let start = Instant::now();
                let view = handler.submit(id, body_bytes, Some(&span.traceparent()))?;
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
                Ok(ApiResponse::json(200, &handler.put_ticket(*number, body_bytes)?))
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

fn rejection_error(rejection: Rejection, route: &Route) -> ApiError {
    let mut error = match rejection {
        Rejection::Full => ApiError::new(
            Code::Busy,
            "This instance has reached its limit of requests. This request was not run; send it again in a second.",
        ),
        Rejection::Draining => ApiError::new(
            Code::Draining,
            "This instance is shutting down. This request was not run; send it to another instance.",
        ),
    };
    // The rejection of a lookup or cancellation says nothing about whether the job itself ran.
    error.not_run = route.has_body();
    error
}

/// Request line and headers, as rouille's request type, which parses them.
fn parse_head(request: &Request) -> Head {
    let mut headers = Vec::new();
    for header in request.headers() {
        headers.push((header.field.to_string(), header.value.to_string()));
    }
    Head::fake_http(request.method().as_str(), request.url(), headers, Vec::new())
}

/// Rejects a request whose body cannot be discarded. Its socket is leaked, because dropping it would discard the body.
fn reject_unread(request: Request) {
    let too_large = Response::empty(StatusCode(Code::TooLarge.status()));
    mem::forget(request.upgrade("none", too_large));
}
