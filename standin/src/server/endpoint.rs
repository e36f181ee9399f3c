//! An endpoint behind HTTP.

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
use super::http_server::Host;
use super::reply::{Answer, bad, error, finish, json, ok};
use crate::endpoint::Endpoint;
use crate::record::Entry;

#[derive(Debug)]
struct State {
    endpoint: Mutex<Endpoint>,
    clock: SystemClock,
    /// Calls under way, each on a connection of its own.
    connections: AtomicU16,
    faults: Faults,
}

/// An endpoint behind HTTP.
#[derive(Debug)]
pub struct EndpointServer {
    state: Arc<State>,
    host: Host,
}

impl EndpointServer {
    /// Starts an endpoint; the address in `listed` is where it listens, and is replaced by the one that it got.
    pub fn start(mut listed: ListedEndpoint, speed: f64, clock: SystemClock) -> io::Result<Self> {
        let address = listed.address;
        let state = Arc::new(State {
            endpoint: Mutex::new(Endpoint::new(listed.clone(), speed)),
            clock,
            connections: AtomicU16::new(0),
            faults: Faults::default(),
        });
        let served = Arc::clone(&state);
        let host = Host::start(address, move |request| served.answer(request))?;
        listed.address = host.address();
        *state.endpoint().listed_mut() = listed;
        Ok(Self { state, host })
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.host.address()
    }

    /// What the list should say about it.
    pub fn listed(&self) -> ListedEndpoint {
        self.state.endpoint().listed().clone()
    }

    /// Faults that it injects.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// What it did so far.
    pub fn record(&self) -> Vec<Entry> {
        let now = self.state.clock.now();
        self.state.with(|endpoint| {
            endpoint.advance(now);
            endpoint.record().to_vec()
        })
    }

    /// Does something to the endpoint.
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

    fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        let parts: Vec<_> = url.trim_start_matches("/v1/").split('/').collect();
        match (request.method(), parts.as_slice()) {
            ("POST", ["commands"]) => self.faults.apply(Target::Commands, || self.command(request)),
            ("GET", ["report"]) => self.faults.apply(Target::Reports, || {
                let now = self.clock.now();
                ok(&self.with(|endpoint| endpoint.report(now)))
            }),
            ("POST", ["calls", id]) => self.faults.apply(Target::Calls, || self.call(id, request)),
            ("POST", ["calls", id, "refuse"]) => self.faults.apply(Target::Refusals, || self.refuse(id, request)),
            (method, parts) => finish(self.control(method, parts, request)),
        }
    }

    fn command(&self, request: &Request) -> Answer {
        let batch: Batch = json(request)?;
        let now = self.clock.now();
        ok(&self.with(|endpoint| endpoint.command(now, &batch)))
    }

    fn call(&self, id: &str, request: &Request) -> Answer {
        let call: CallRequest = json(request)?;
        if call.job.as_str() != id {
            return Err(bad("the path names another job than the body"));
        }
        let most = self.endpoint().listed().connections;
        if self.connections.fetch_add(1, Ordering::Relaxed) >= most {
            self.connections.fetch_sub(1, Ordering::Relaxed);
            return Err(error(ErrorCode::Full, "no free connection"));
        }
        let answer = self.run(&call);
        self.connections.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    fn run(&self, call: &CallRequest) -> Answer {
        let started = self.clock.now();
        let (end, parts) = self
            .with(|endpoint| endpoint.call(started, call))
            .map_err(|failure| call_error(&failure))?;
        thread::sleep(end.since(self.clock.now()).duration());
        let mut lines = Vec::new();
        for part in &parts {
            serde_json::to_writer(&mut lines, part).map_err(|error| bad(error.to_string()))?;
            lines.push(b'\n');
        }
        Ok(Response::from_data("application/jsonl", lines))
    }

    fn refuse(&self, id: &str, request: &Request) -> Answer {
        let job = JobId::new(id).map_err(|error| bad(error.to_string()))?;
        let body: RefuseBody = json(request)?;
        let now = self.clock.now();
        ok(&self.with(|endpoint| endpoint.refuse(now, &job, body.attempt)))
    }

    /// Requests that only tests make.
    fn control(&self, method: &str, parts: &[&str], request: &Request) -> Answer {
        let now = self.clock.now();
        match (method, parts) {
            ("GET", ["record"]) => {
                return ok(&self.with(|endpoint| {
                    endpoint.advance(now);
                    endpoint.record().to_vec()
                }));
            }
            ("POST", ["restart"]) => self.with(|endpoint| endpoint.restart(now)),
            ("POST", ["fails_all"]) => {
                let fails_all = json(request)?;
                self.with(|endpoint| endpoint.set_fails_all(fails_all));
            }
            ("POST", ["faults"]) => self.faults.add(json(request)?),
            ("DELETE", ["faults"]) => self.faults.clear(),
            _ => return Err(bad(format!("there is no {method} {}", request.url()))),
        }
        ok(&())
    }
}

fn call_error(failure: &EndpointError) -> ErrorBody {
    let code = match failure {
        EndpointError::Refused => ErrorCode::Refused,
        _ => ErrorCode::Full,
    };
    error(code, failure.to_string())
}
