//! An in-memory handler for tests of the server, the client and the command line.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use yuccaridge::api::{ApiError, Code, Handler, JobState, JobView, Server, StatusView, TicketView};
use yuccaridge::config::{Limits, TraceOutput};
use yuccaridge::job::{JobSpec, NotRunReason, Outcome};
use yuccaridge::metric::Metrics;
use yuccaridge::name::JobId;
use yuccaridge::row::TicketState;
use yuccaridge::team::Catalog;
use yuccaridge::time::Millis;
use yuccaridge::trace::Tracer;

/// Answers from memory. Requests for jobs whose id starts with `slow` block until [`FakeHandler::release`], ids that
/// start with `panic` make the handler panic, and ids that name an outcome end with it.
#[derive(Debug, Default)]
pub struct FakeHandler {
    jobs: Mutex<BTreeMap<JobId, (Vec<u8>, JobView)>>,
    tickets: Mutex<BTreeMap<u64, Vec<u8>>>,
    released: Mutex<bool>,
    changed: Condvar,
}

impl FakeHandler {
    /// Unblocks held requests.
    pub fn release(&self) {
        *self.released.lock().expect("lock") = true;
        self.changed.notify_all();
    }

    fn wait_for_release(&self) {
        let mut released = self.released.lock().expect("lock");
        while !*released {
            released = self.changed.wait(released).expect("lock");
        }
    }
}

fn outcome_of(id: &str) -> Option<Outcome> {
    let reason = "outcome requested by the job id".to_owned();
    match id.split('.').next()? {
        "completed" | "slow" => Some(Outcome::Completed {
            answer: serde_json::json!({ "matches": 3 }),
        }),
        "failed" => Some(Outcome::Failed { reason }),
        "not_run" => Some(Outcome::NotRun {
            reason: NotRunReason::Busy,
            message: reason,
        }),
        "cancelled" => Some(Outcome::Cancelled { ran: false }),
        "unknown" => Some(Outcome::Unknown { reason }),
        _ => None,
    }
}

fn unreadable_body(e: &dyn ToString) -> ApiError {
    ApiError::new(Code::BadRequest, format!("The body cannot be read: {}.", e.to_string()))
}

fn accepted_ticket(number: u64, repeated: bool) -> TicketView {
    let state = TicketState::Accepted;
    TicketView {
        number,
        state,
        repeated,
    }
}

impl Handler for FakeHandler {
    fn submit(&self, id: &JobId, body: &[u8], trace: Option<&str>) -> Result<JobView, ApiError> {
        assert!(!id.as_str().starts_with("panic"), "the job id requests a panic");
        let spec: JobSpec = serde_json::from_slice(body).map_err(|e| unreadable_body(&e))?;
        spec.shape.check().map_err(|e| unreadable_body(&e))?;
        if id.as_str().starts_with("slow") {
            self.wait_for_release();
        }
        let mut jobs = self.jobs.lock().expect("lock");
        if let Some((stored, view)) = jobs.get(id) {
            if stored != body {
                return Err(ApiError::new(Code::JobConflict, "This id was used for another body."));
            }
            return Ok(view.clone());
        }
        let outcome = outcome_of(id.as_str());
        let view = JobView {
            id: id.clone(),
            state: outcome.as_ref().map_or(JobState::Queued, |_| JobState::Ended),
            outcome,
            attempt: 1,
            pool: spec.pool,
            endpoints: Vec::new(),
            trace: trace.map(str::to_owned),
        };
        jobs.insert(id.clone(), (body.to_vec(), view.clone()));
        Ok(view)
    }

    fn job(&self, id: &JobId, wait: Millis) -> Result<JobView, ApiError> {
        if id.as_str().starts_with("slow") && wait > Millis::ZERO {
            self.wait_for_release();
        }
        match self.jobs.lock().expect("lock").get(id) {
            Some((_, view)) => Ok(view.clone()),
            None => Err(ApiError::new(Code::NotFound, "There is no such job.")),
        }
    }

    fn cancel(&self, id: &JobId) -> Result<JobView, ApiError> {
        let mut view = self.job(id, Millis::ZERO)?;
        view.state = JobState::Cancelling;
        Ok(view)
    }

    fn put_ticket(&self, number: u64, body: &[u8]) -> Result<TicketView, ApiError> {
        let mut tickets = self.tickets.lock().expect("lock");
        let repeated = match tickets.get(&number) {
            Some(stored) if stored != body => {
                return Err(ApiError::new(
                    Code::TicketConflict,
                    "This number was used for another ticket.",
                ));
            }
            stored => stored.is_some(),
        };
        tickets.insert(number, body.to_vec());
        Ok(accepted_ticket(number, repeated))
    }

    fn ticket(&self, number: u64) -> Result<TicketView, ApiError> {
        if !self.tickets.lock().expect("lock").contains_key(&number) {
            return Err(ApiError::new(Code::NotFound, "There is no such ticket."));
        }
        Ok(accepted_ticket(number, false))
    }

    fn catalog(&self) -> Result<Catalog, ApiError> {
        Ok(Catalog::default())
    }

    fn status(&self) -> StatusView {
        let view = r#"{"instance":"fake","ticket":7,"session":true,"draining":false,"instances":[],"pools":{},
            "waiting":{},"at_risk":{},"quarantine":{}}"#;
        serde_json::from_str(view).expect("status")
    }

    fn is_ready(&self) -> bool {
        true
    }
}

/// Limits that are small enough for tests to reach.
pub fn limits() -> Limits {
    Limits {
        connections: 64,
        body_bytes: 64 * 1024,
        held_bytes: 32 * 1024 * 1024,
        header_ms: 300,
        waiting: 4,
    }
}

/// A server on a free port.
pub fn serve(limits: Limits) -> (Arc<FakeHandler>, Server) {
    let fake = Arc::new(FakeHandler::default());
    let handler = Arc::clone(&fake) as Arc<dyn Handler>;
    let listen = "127.0.0.1:0".parse().expect("address");
    let metrics = Arc::new(Metrics::new());
    let server = Server::start(listen, limits, handler, metrics, Tracer::new(TraceOutput::Off)).expect("server starts");
    (fake, server)
}

/// Waits until `count` requests are in flight.
pub fn wait_in_flight(server: &Server, count: usize) {
    while server.in_flight() != count {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A valid job body.
pub fn job_body() -> &'static str {
    r#"{"team":"north","kind":"photo","class":"batch","shape":{"members":2,"accelerators":8}}"#
}
