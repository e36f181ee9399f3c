//! Callers: each sends one request and follows it to its end.

use std::sync::atomic::Ordering;

use yuccaridge::api::{ApiError, JobView};
use yuccaridge::call::{Call, Progress};
use yuccaridge::instance::Hint;
use yuccaridge::job::{Class, JobSpec};
use yuccaridge::name::JobId;
use yuccaridge::time::Millis;

use super::checker::is_final;
use super::evidence::{Asked, Told};
use super::simulation::World;

/// Pause before a caller sends a request again, or looks again.
const PAUSE: Millis = Millis(1000);
/// Time for which a caller repeats a request that was not run.
const PATIENCE: Millis = Millis::from_secs(300);

/// Somebody outside the system. A step makes requests to one instance only.
pub trait Actor: std::fmt::Debug + Send {
    /// Instance that is asked next.
    fn node(&self) -> usize;

    /// Goes on; true when there is nothing left to do.
    fn step(&mut self, world: &World, now: Millis) -> bool;
}

#[derive(Debug)]
enum Stage {
    Submit,
    Call(Box<Call>),
    Look,
    Over,
}

/// A caller of one job.
#[derive(Debug)]
pub struct Caller {
    id: JobId,
    spec: JobSpec,
    body: Vec<u8>,
    node: usize,
    stage: Stage,
    start: Millis,
    due: Millis,
    /// Cancels the job once it is accepted.
    pub cancels: bool,
}

impl Caller {
    pub fn new(id: &str, spec: JobSpec, node: usize, start: Millis) -> Self {
        Self {
            id: JobId::new(id).expect("a valid id"),
            body: serde_json::to_vec(&spec).expect("specs serialize"),
            spec,
            node,
            stage: Stage::Submit,
            start,
            due: start,
            cancels: false,
        }
    }

    pub fn id(&self) -> &JobId {
        &self.id
    }

    /// Notes an answer and decides how to go on.
    fn take(&mut self, world: &World, asked: Asked, result: Result<JobView, ApiError>) {
        let now = world.now();
        let stage = match &result {
            Ok(view) if is_final(view.state) => Stage::Over,
            // An idempotent call has no row to look up, and a repeat would be another request.
            _ if self.spec.class == Class::Call && self.spec.idempotent => Stage::Over,
            Ok(_) if self.spec.class == Class::Call => Stage::Submit,
            Err(error) if !error.repeat || now.since(self.start) > PATIENCE => Stage::Over,
            Err(_) if asked == Asked::Submit => Stage::Submit,
            _ => Stage::Look,
        };
        world.tell(Told::Job {
            at: now,
            id: self.id.clone(),
            asked,
            result,
        });
        self.stage = stage;
        self.due = now + PAUSE;
    }

    /// What becomes of the request when its instance is gone.
    fn broken(&mut self, world: &World) {
        world.broken(self.node, self.id.as_str());
        self.stage = match self.spec.class {
            Class::Call if self.spec.idempotent => Stage::Over,
            _ => Stage::Submit,
        };
        self.due = world.now() + PAUSE;
    }

    fn begin(&mut self, world: &World, now: Millis) -> Option<Result<JobView, ApiError>> {
        let core = &world.nodes[self.node].core;
        if self.spec.class == Class::Batch {
            let result = core.accept.submit(now, &self.id, &self.body, None);
            return Some(result.map_err(ApiError::from));
        }
        if self.spec.idempotent && !core.may_use_cache(now) {
            let message = "no configuration is known to be in force".to_owned();
            return Some(Err(ApiError::new(yuccaridge::api::Code::Unavailable, message)));
        }
        match core.calls.begin(now, &self.id, &self.body, None) {
            Ok(call) => {
                world.nodes[self.node].requests.fetch_add(1, Ordering::Relaxed);
                self.stage = Stage::Call(Box::new(call));
                None
            }
            Err(error) => Some(Err(error.into())),
        }
    }

    /// Carries a call on until it waits or ends.
    fn carry(&mut self, world: &World) {
        let node = &world.nodes[self.node];
        loop {
            let Stage::Call(call) = &mut self.stage else { return };
            let result = match node.core.calls.step(world.now(), call) {
                _ if !node.is_up() => {
                    node.requests.fetch_sub(1, Ordering::Relaxed);
                    return self.broken(world);
                }
                Ok(Progress::Again) => continue,
                Ok(Progress::Wait(pause)) => {
                    self.due = world.now() + pause;
                    return;
                }
                Ok(Progress::Done(view)) => Ok(*view),
                Err(error) => Err(error.into()),
            };
            node.requests.fetch_sub(1, Ordering::Relaxed);
            return self.take(world, Asked::Submit, result);
        }
    }

    fn submit(&mut self, world: &World, now: Millis) {
        let result = self.begin(world, now);
        let node = &world.nodes[self.node];
        if !node.is_up() {
            return self.broken(world);
        }
        let Some(result) = result else { return self.carry(world) };
        if let Ok(view) = &result {
            self.wake(world, view);
        }
        self.take(world, Asked::Submit, result);
    }

    fn wake(&self, world: &World, view: &JobView) {
        let Some(pool) = view.pool.clone() else { return };
        let core = &world.nodes[self.node].core;
        core.pools.reload_job(pool.clone(), self.id.clone());
        core.queue_hint(Hint::Wake {
            pool,
            job: self.id.clone(),
        });
    }

    fn look(&mut self, world: &World, now: Millis) {
        let core = &world.nodes[self.node].core;
        let asked = if self.cancels { Asked::Cancel } else { Asked::Look };
        let result = match asked {
            Asked::Cancel => core.accept.cancel(now, &self.id),
            _ => core.accept.job(&self.id),
        };
        if !world.nodes[self.node].is_up() {
            return self.broken(world);
        }
        if let Ok(view) = &result {
            self.cancels = false;
            self.wake(world, view);
        }
        self.take(world, asked, result.map_err(ApiError::from));
    }
}

impl Actor for Caller {
    fn node(&self) -> usize {
        self.node
    }

    fn step(&mut self, world: &World, now: Millis) -> bool {
        if now < self.due {
            return false;
        }
        let in_call = matches!(self.stage, Stage::Call(_));
        if !in_call {
            // The load balancer sends every request to an instance that is ready.
            self.node = world.open_node(self.node);
        }
        match self.stage {
            Stage::Submit => self.submit(world, now),
            Stage::Call(_) => self.carry(world),
            Stage::Look => self.look(world, now),
            Stage::Over => {}
        }
        matches!(self.stage, Stage::Over)
    }
}
