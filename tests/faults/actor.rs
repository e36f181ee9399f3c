//! Simulated clients: the `Actor` trait, and callers that each submit one job and follow it to its end.

use std::sync::atomic::Ordering;

use yuccaridge::api::{ApiError, JobView};
use yuccaridge::call::{Call, Progress};
use yuccaridge::instance::Hint;
use yuccaridge::job::{Class, JobSpec};
use yuccaridge::name::JobId;
use yuccaridge::time::Millis;

use super::checker::is_final;
use super::evidence::{RequestKind, Response};
use super::simulation::Simulation;

/// Pause before a caller repeats a request or polls again.
const RETRY_PAUSE: Millis = Millis(1000);
/// Time after which a caller gives up on a request that keeps failing.
const RETRY_TIMEOUT: Millis = Millis::from_secs(300);

/// A simulated client of the system. Each step makes requests to one instance only.
pub trait Actor: std::fmt::Debug + Send {
    /// Index of the instance that receives the next request.
    fn instance(&self) -> usize;

    /// Performs the next step if it is due; true when the actor has finished.
    fn step(&mut self, sim: &Simulation, now: Millis) -> bool;
}

#[derive(Debug)]
enum Stage {
    Submit,
    Call(Box<Call>),
    Poll,
    Finished,
}

/// A client that submits one job.
#[derive(Debug)]
pub struct Caller {
    id: JobId,
    spec: JobSpec,
    body: Vec<u8>,
    instance: usize,
    stage: Stage,
    start: Millis,
    due: Millis,
    /// Cancels the job once it is accepted.
    pub cancels: bool,
}

impl Caller {
    pub fn new(id: &str, spec: JobSpec, instance: usize, start: Millis) -> Self {
        Self {
            id: JobId::new(id).expect("a valid id"),
            body: serde_json::to_vec(&spec).expect("job specs serialize"),
            spec,
            instance,
            stage: Stage::Submit,
            start,
            due: start,
            cancels: false,
        }
    }

    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Records a response and selects the next stage.
    fn handle_response(&mut self, sim: &Simulation, request: RequestKind, result: Result<JobView, ApiError>) {
        let now = sim.now();
        let stage = match &result {
            Ok(view) if is_final(view.state) => Stage::Finished,
            // An idempotent call has no row to poll, and repeating it would be a new request.
            _ if self.spec.class == Class::Call && self.spec.idempotent => Stage::Finished,
            Ok(_) if self.spec.class == Class::Call => Stage::Submit,
            Err(error) if !error.repeat || now.since(self.start) > RETRY_TIMEOUT => Stage::Finished,
            Err(_) if request == RequestKind::Submit => Stage::Submit,
            _ => Stage::Poll,
        };
        sim.record_response(Response::Job {
            at: now,
            id: self.id.clone(),
            request,
            result,
        });
        self.stage = stage;
        self.due = now + RETRY_PAUSE;
    }

    /// Records that the instance is gone and retries the request, unless it is an idempotent call.
    fn handle_disconnect(&mut self, sim: &Simulation) {
        sim.record_disconnect(self.instance, self.id.as_str());
        self.stage = match self.spec.class {
            Class::Call if self.spec.idempotent => Stage::Finished,
            _ => Stage::Submit,
        };
        self.due = sim.now() + RETRY_PAUSE;
    }

    fn send_submit(&mut self, sim: &Simulation, now: Millis) -> Option<Result<JobView, ApiError>> {
        let core = &sim.instances[self.instance].core;
        if self.spec.class == Class::Batch {
            let result = core.accept.submit(now, &self.id, &self.body, None);
            return Some(result.map_err(ApiError::from));
        }
        if self.spec.idempotent && !core.may_use_cache(now) {
            let message = "the instance has no configuration that is known to be current".to_owned();
            return Some(Err(ApiError::new(yuccaridge::api::Code::Unavailable, message)));
        }
        match core.calls.begin(now, &self.id, &self.body, None) {
            Ok(call) => {
                sim.instances[self.instance].in_flight.fetch_add(1, Ordering::Relaxed);
                self.stage = Stage::Call(Box::new(call));
                None
            }
            Err(error) => Some(Err(error.into())),
        }
    }

    /// Steps the call until it has to wait or ends.
    fn step_call(&mut self, sim: &Simulation) {
        let instance = &sim.instances[self.instance];
        loop {
            let Stage::Call(call) = &mut self.stage else { return };
            let result = match instance.core.calls.step(sim.now(), call) {
                _ if !instance.is_up() => {
                    instance.in_flight.fetch_sub(1, Ordering::Relaxed);
                    return self.handle_disconnect(sim);
                }
                Ok(Progress::Again) => continue,
                Ok(Progress::Wait(pause)) => {
                    self.due = sim.now() + pause;
                    return;
                }
                Ok(Progress::Done(view)) => Ok(*view),
                Err(error) => Err(error.into()),
            };
            instance.in_flight.fetch_sub(1, Ordering::Relaxed);
            return self.handle_response(sim, RequestKind::Submit, result);
        }
    }

    fn submit(&mut self, sim: &Simulation, now: Millis) {
        let result = self.send_submit(sim, now);
        let instance = &sim.instances[self.instance];
        if !instance.is_up() {
            return self.handle_disconnect(sim);
        }
        let Some(result) = result else {
            return self.step_call(sim);
        };
        if let Ok(view) = &result {
            self.send_wake_hint(sim, view);
        }
        self.handle_response(sim, RequestKind::Submit, result);
    }

    fn send_wake_hint(&self, sim: &Simulation, view: &JobView) {
        let Some(pool) = view.pool.clone() else { return };
        let core = &sim.instances[self.instance].core;
        core.pools.reload_job(pool.clone(), self.id.clone());
        core.queue_hint(Hint::Wake {
            pool,
            job: self.id.clone(),
        });
    }

    fn poll(&mut self, sim: &Simulation, now: Millis) {
        let core = &sim.instances[self.instance].core;
        let request = if self.cancels {
            RequestKind::Cancel
        } else {
            RequestKind::Poll
        };
        let result = match request {
            RequestKind::Cancel => core.accept.cancel(now, &self.id),
            _ => core.accept.job(&self.id),
        };
        if !sim.instances[self.instance].is_up() {
            return self.handle_disconnect(sim);
        }
        if let Ok(view) = &result {
            self.cancels = false;
            self.send_wake_hint(sim, view);
        }
        self.handle_response(sim, request, result.map_err(ApiError::from));
    }
}

impl Actor for Caller {
    fn instance(&self) -> usize {
        self.instance
    }

    fn step(&mut self, sim: &Simulation, now: Millis) -> bool {
        if now < self.due {
            return false;
        }
        let in_call = matches!(self.stage, Stage::Call(_));
        if !in_call {
            // The load balancer sends each request to an instance that accepts requests.
            self.instance = sim.accepting_instance(self.instance);
        }
        match self.stage {
            Stage::Submit => self.submit(sim, now),
            Stage::Call(_) => self.step_call(sim),
            Stage::Poll => self.poll(sim, now),
            Stage::Finished => {}
        }
        matches!(self.stage, Stage::Finished)
    }
}
