//! HTTP server of an endpoint.

use std::io;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use rouille::{Request, Response};
use yuccaridge::name::JobId;
use yuccaridge::platform::http::wire::{ErrorBody, ErrorCode, RefuseBody};
use yuccaridge::platform::{Address, Batch, CallRequest, EndpointError, ListedEndpoint};
use yuccaridge::time::{Clock, Millis, SystemClock};

use super::faults::{Faults, Target};
use super::http_server::HttpServer;
use super::reply::{HandlerResult, bad_request, error_body, into_response, json_response, read_json};
use crate::endpoint::Endpoint;
use crate::record::Entry;

#[derive(Debug)]
struct State {
    endpoint: Mutex<Endpoint>,
    clock: SystemClock,
    /// Calls in progress, each on its own connection.
    connections: AtomicU16,
    faults: Faults,
}

/// An endpoint served over HTTP.
#[derive(Debug)]
pub struct EndpointServer {
    state: Arc<State>,
    server: HttpServer,
}

impl EndpointServer {
    /// Starts an endpoint that listens on the address in `listed`. Its list entry carries the address actually bound.
    pub fn start(mut listed: ListedEndpoint, speed: f64, clock: SystemClock) -> io::Result<Self> {
        let address = listed.address;
        let state = Arc::new(State {
            endpoint: Mutex::new(Endpoint::new(listed.clone(), speed)),
            clock,
            connections: AtomicU16::new(0),
            faults: Faults::default(),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(address, move |request| shared.handle(request))?;
        listed.address = server.address();
        *state.endpoint().listed_mut() = listed;
        Ok(Self { state, server })
    }

    /// Address that it listens on.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Its entry for the platform's list.
    pub fn listed(&self) -> ListedEndpoint {
        self.state.endpoint().listed().clone()
    }

    /// Faults to inject into its answers.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Events recorded so far.
    pub fn record(&self) -> Vec<Entry> {
        let now = self.state.clock.now();
        self.state.with(|endpoint| {
            endpoint.advance(now);
            endpoint.record().to_vec()
        })
    }

    /// Calls `f` with the endpoint and the current time.
    pub fn with<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Endpoint, Millis) -> T,
    {
        let now = self.state.clock.now();
        self.state.with(|endpoint| f(endpoint, now))
    }
}

impl State {
    fn endpoint(&self) -> MutexGuard<'_, Endpoint> {
        self.endpoint.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Endpoint) -> T,
    {
        f(&mut self.endpoint())
    }

    fn handle(&self, request: &Request) -> Response {
        let url = request.url();
        let parts: Vec<_> = url.trim_start_matches("/v1/").split('/').collect();
        match (request.method(), parts.as_slice()) {
            ("POST", ["commands"]) => self.faults.apply(Target::Commands, || self.command(request)),
            ("GET", ["report"]) => self.faults.apply(Target::Reports, || {
                let now = self.clock.now();
                json_response(&self.with(|endpoint| endpoint.report(now)))
            }),
            ("POST", ["calls", id]) => self.faults.apply(Target::Calls, || self.call(id, request)),
            ("POST", ["calls", id, "refuse"]) => self.faults.apply(Target::Refusals, || self.refuse(id, request)),
            (method, parts) => into_response(self.control(method, parts, request)),
        }
    }

    fn command(&self, request: &Request) -> HandlerResult {
        let batch: Batch = read_json(request)?;
        let now = self.clock.now();
        json_response(&self.with(|endpoint| endpoint.command(now, &batch)))
    }

    fn call(&self, id: &str, request: &Request) -> HandlerResult {
        let call: CallRequest = read_json(request)?;
        if call.job.as_str() != id {
            return Err(bad_request("the job id in the path differs from the one in the body"));
        }
        let max_connections = self.endpoint().listed().connections;
        if self.connections.fetch_add(1, Ordering::Relaxed) >= max_connections {
            self.connections.fetch_sub(1, Ordering::Relaxed);
            return Err(error_body(ErrorCode::Full, "no free connection"));
        }
        let answer = self.run_call(&call);
        self.connections.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    fn run_call(&self, call: &CallRequest) -> HandlerResult {
        let started = self.clock.now();
        let (end, parts) = self
            .with(|endpoint| endpoint.call(started, call))
            .map_err(|failure| call_error(&failure))?;
        thread::sleep(end.since(self.clock.now()).duration());
        let mut lines = Vec::new();
        for part in &parts {
            serde_json::to_writer(&mut lines, part).map_err(|error| bad_request(error.to_string()))?;
            lines.push(b'\n');
        }
        Ok(Response::from_data("application/jsonl", lines))
    }

    fn refuse(&self, id: &str, request: &Request) -> HandlerResult {
        let job = JobId::new(id).map_err(|error| bad_request(error.to_string()))?;
        let body: RefuseBody = read_json(request)?;
        let now = self.clock.now();
        json_response(&self.with(|endpoint| endpoint.refuse(now, &job, body.attempt)))
    }

    /// Handles requests that only tests send.
    fn control(&self, method: &str, parts: &[&str], request: &Request) -> HandlerResult {
        let now = self.clock.now();
        match (method, parts) {
            ("GET", ["record"]) => {
                return json_response(&self.with(|endpoint| {
                    endpoint.advance(now);
                    endpoint.record().to_vec()
                }));
            }
            ("POST", ["restart"]) => self.with(|endpoint| endpoint.restart(now)),
            ("POST", ["fails_all"]) => {
                let fails_all = read_json(request)?;
                self.with(|endpoint| endpoint.set_fails_all(fails_all));
            }
            ("POST", ["faults"]) => self.faults.add(read_json(request)?),
            ("DELETE", ["faults"]) => self.faults.clear(),
            _ => return Err(bad_request(format!("no such route: {method} {}", request.url()))),
        }
        json_response(&())
    }
}

fn call_error(failure: &EndpointError) -> ErrorBody {
    let code = match failure {
        EndpointError::Refused => ErrorCode::Refused,
        _ => ErrorCode::Full,
    };
    error_body(code, failure.to_string())
}
