//! Requests of the HTTP server, which are processed on a bounded pool of threads.
//!
//! Health, readiness, status and metrics are answered before the body of their request is read and whatever else is in
//! progress. Any other request is admitted once it has arrived in full.

use std::sync::Arc;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::task::spawn_blocking;

use super::limiter::Rejection;
use super::service::{Service, rejection_error};
use super::{ApiError, ApiResponse, Code, Route};
use crate::net::{Handler, Refusal};
use crate::port::HttpLimits;
use crate::trace::Span;

/// Largest header, in bytes; that of most HTTP servers is between 8 and 64 KiB.
const HEADER_BYTES_MAX: usize = 16 * 1024;
/// Time limit for a client that sends nothing between two requests.
const IDLE_TIMEOUT_MS: u64 = 75_000;

/// Answers the requests of the HTTP server.
#[derive(Debug)]
pub(super) struct HttpService {
    service: Arc<Service>,
}

/// A request whose response is being prepared.
#[derive(Debug)]
struct Call {
    service: Arc<Service>,
    /// Name of the route in metrics and traces.
    name: &'static str,
    span: Span,
}

impl HttpService {
    /// Answers through `service`.
    pub fn new(service: Arc<Service>) -> Self {
        Self { service }
    }

    fn call(&self, head: &Parts, route: Option<&Route>) -> Call {
        let name = route.map_or("none", Route::name);
        let parent = head.headers.get("traceparent").and_then(|value| value.to_str().ok());
        Call {
            service: Arc::clone(&self.service),
            name,
            span: self.service.tracer.start_span(name, parent),
        }
    }
}

impl Call {
    /// Counts and converts a response.
    fn respond(self, response: ApiResponse) -> Response<Full<Bytes>> {
        self.span.set("status", &response.status);
        self.service.metrics.count_request(self.name, response.status);
        response.into_http(&self.span.traceparent())
    }

    fn fail(self, error: &ApiError) -> Response<Full<Bytes>> {
        self.respond(ApiResponse::error(error))
    }
}

/// Runs a function that may block.
async fn run_blocking<F>(f: F) -> Response<Full<Bytes>>
where
    F: FnOnce() -> Response<Full<Bytes>> + Send + 'static,
{
    spawn_blocking(f).await.unwrap_or_else(|e| {
        log::error!("the thread of a request failed: {e}");
        let error = ApiError::new(
            Code::Unknown,
            "An internal error occurred. Send the request again with the same id.",
        );
        ApiResponse::error(&error).into_http("")
    })
}

impl Handler for HttpService {
    async fn answer(&self, request: Request<Bytes>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let route = match Route::of_head(&head) {
            Ok(route) => route,
            Err(e) => return self.call(&head, None).fail(&e),
        };
        let call = self.call(&head, Some(&route));
        let permit = match self.service.limiter.admit() {
            Ok(permit) => permit,
            Err(rejection) => return call.fail(&rejection_error(rejection, &route)),
        };
        run_blocking(move || {
            let response = call.service.run(&route, &body, &call.span);
            let response = call.respond(response);
            drop(permit);
            response
        })
        .await
    }

    fn limits(&self) -> HttpLimits {
        let limits = &self.service.limits;
        HttpLimits {
            header_bytes: HEADER_BYTES_MAX,
            body_bytes: usize::try_from(limits.body_bytes).unwrap_or(usize::MAX),
            header_ms: limits.header_ms,
            idle_ms: IDLE_TIMEOUT_MS,
        }
    }

    async fn screen(&self, head: &Parts) -> Option<Response<Full<Bytes>>> {
        match Route::of_head(head) {
            Err(e) => Some(self.call(head, None).fail(&e)),
            Ok(route) if route.is_local() => {
                let call = self.call(head, Some(&route));
                Some(
                    run_blocking(move || {
                        let response = call.service.local_response(&route);
                        call.respond(response)
                    })
                    .await,
                )
            }
            Ok(route) if self.service.limiter.is_draining() => {
                let error = rejection_error(Rejection::Draining, &route);
                Some(self.call(head, Some(&route)).fail(&error))
            }
            Ok(_) => None,
        }
    }

    fn refuse(&self, head: &Parts, refusal: &Refusal) -> Response<Full<Bytes>> {
        let error = self.service.refusal_error(refusal);
        self.call(head, Route::of_head(head).ok().as_ref()).fail(&error)
    }

    fn has_title_case(&self) -> bool {
        true
    }
}
