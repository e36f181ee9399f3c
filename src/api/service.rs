//! What happens to one request.

use std::mem;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Instant;

use rouille::Request as Head;
use serde_json::json;
use tiny_http::{Request, Response, StatusCode};

use super::limiter::{Closed, Pass};
use super::{Answer, ApiError, Code, Gate, Handler, Route, body};
use crate::config::Limits;
use crate::metric::Metrics;
use crate::trace::{Span, Tracer};

/// Everything that a request needs.
#[derive(Debug)]
pub(super) struct Service {
    pub handler: Arc<dyn Handler>,
    pub limits: Limits,
    pub gate: Arc<Gate>,
    pub metrics: Arc<Metrics>,
    pub tracer: Tracer,
}

impl Service {
    /// Answers a request; runs on a thread of its own.
    pub fn serve(&self, mut request: Request) {
        let (mut pass, entered) = self.gate.enter();
        if body::declared(&request).is_some_and(|size| size > body::DISCARD_BYTES_MAX) {
            abandon(request);
            return;
        }
        let head = head(&request);
        let wait = head.get_param("wait");
        let route = Route::parse(head.method(), &head.url(), wait.as_deref());
        let name = route.as_ref().map_or("none", Route::name);
        let hop = self.tracer.start_span(name, head.header("traceparent"));
        let result = match (entered, route) {
            (_, Err(e)) => Err(e),
            (_, Ok(route)) if route.is_local() => Ok(self.local(&route)),
            (Err(closed), Ok(route)) => Err(refusal(closed, &route)),
            (Ok(()), Ok(route)) => self.handle(&mut request, &mut pass, &route, &hop),
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(e) => Answer::error(&e),
        };
        hop.set("status", &answer.status);
        self.metrics.count_request(name, answer.status);
        if let Err(e) = request.respond(answer.into_response(&hop.traceparent())) {
            log::debug!("an answer could not be written: {e}");
        }
        drop(pass);
    }

    fn local(&self, route: &Route) -> Answer {
        match route {
            Route::Metrics => Answer::metrics(self.metrics.text()),
            Route::Status => Answer::json(200, &self.handler.status()),
            Route::Ready if self.gate.is_stopping() => Answer::json(503, &json!({ "ready": false })),
            Route::Ready if !self.handler.is_ready() => Answer::json(503, &json!({ "ready": false })),
            Route::Ready => Answer::json(200, &json!({ "ready": true })),
            _ => Answer::json(200, &json!({ "alive": true })),
        }
    }

    fn handle(&self, request: &mut Request, pass: &mut Pass, route: &Route, hop: &Span) -> Result<Answer, ApiError> {
        let bytes = if route.has_body() {
            body::read(request, &self.limits)?
        } else {
            Vec::new()
        };
        pass.admit().map_err(|closed| refusal(closed, route))?;
        let call = || self.call(route, &bytes, hop);
        // A fault in the handler must cost one request, not the connection: its caller is told that the result is open.
        match catch_unwind(AssertUnwindSafe(call)) {
            Ok(result) => result,
            Err(_) => Err(ApiError::new(
                Code::Unknown,
                "A fault inside the scheduler hit this request. Ask again with the same id.",
            )),
        }
    }

    fn call(&self, route: &Route, bytes: &[u8], hop: &Span) -> Result<Answer, ApiError> {
        let handler = &self.handler;
        match route {
            Route::Submit(id) => {
                hop.set("job", id);
                let start = Instant::now();
                let view = handler.submit(id, bytes, Some(&hop.traceparent()))?;
                // A call has no pool; it is answered when it has ended.
                if view.pool.is_none() && view.outcome.is_some() {
                    self.metrics.observe_call(start.elapsed());
                }
                hop.set("attempt", &view.attempt);
                Ok(Answer::json(200, &view))
            }
            Route::Job(id, wait) => {
                hop.set("job", id);
                Ok(Answer::json(200, &handler.job(id, *wait)?))
            }
            Route::Cancel(id) => {
                hop.set("job", id);
                Ok(Answer::json(200, &handler.cancel(id)?))
            }
            Route::PutTicket(number) => {
                hop.set("ticket", number);
                Ok(Answer::json(200, &handler.put_ticket(*number, bytes)?))
            }
            Route::Ticket(number) => {
                hop.set("ticket", number);
                Ok(Answer::json(200, &handler.ticket(*number)?))
            }
            Route::Config => Ok(Answer::json(200, &handler.catalog()?)),
            Route::Status | Route::Health | Route::Ready | Route::Metrics => Ok(self.local(route)),
        }
    }
}

fn refusal(closed: Closed, route: &Route) -> ApiError {
    let mut error = match closed {
        Closed::Full => ApiError::new(
            Code::Busy,
            "This instance has as many requests as it can hold. This request was not run; send it again in a second.",
        ),
        Closed::Stopping => ApiError::new(
            Code::Draining,
            "This instance is shutting down. This request was not run; send it to another instance.",
        ),
    };
    // A refused lookup or cancel says nothing about whether the job itself ran.
    error.not_run = route.has_body();
    error
}

/// The request line and the header, for rouille's parsing of them.
fn head(request: &Request) -> Head {
    let mut headers = Vec::new();
    for header in request.headers() {
        headers.push((header.field.to_string(), header.value.to_string()));
    }
    Head::fake_http(request.method().as_str(), request.url(), headers, Vec::new())
}

/// Answers a request whose body cannot be discarded, and keeps its socket: dropping it would discard the body.
fn abandon(request: Request) {
    let response = Response::empty(StatusCode(Code::TooLarge.status()));
    mem::forget(request.upgrade("none", response));
}
