//! State machine of an endpoint: reserves resources, runs scripted tasks under leases and records each event.

use std::collections::{BTreeMap, BTreeSet};

use yuccaridge::name::{JobId, PoolName};
use yuccaridge::platform::{
    Action, Batch, CallPart, CallRequest, Command, EndpointError, ListedEndpoint, Refusal, Reply, Report, TaskReport,
    TaskState,
};
use yuccaridge::time::Millis;

pub use crate::defects::Defects;
use crate::record::{Entry, TaskEvent};
use crate::script::Script;

/// Lease of a task whose batch gives no renewal time.
const DEFAULT_LEASE: Millis = Millis::from_secs(30);

#[derive(Debug, Clone)]
struct Task {
    pool: PoolName,
    state: TaskState,
    script: Script,
    cores: u32,
    memory_mb: u64,
    accelerators: Vec<u16>,
    members: u16,
    resumed: bool,
    /// Work left when it last started, at speed 1.
    left_ms: u64,
    started: Millis,
    lease_end: Millis,
    /// While stopping: the time at which it ends, and the checkpoint to write.
    stopping: Option<(Millis, Option<String>)>,
}

impl Task {
    fn is_active(&self) -> bool {
        matches!(self.state, TaskState::Held | TaskState::Running | TaskState::Stopping)
    }
}

type TaskKey = (JobId, u32, u16);

#[derive(Debug, Clone)]
struct Call {
    /// Time at which it ends.
    end: Millis,
    parts: Vec<CallPart>,
}

/// A simulated endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    listed: ListedEndpoint,
    speed: f64,
    boot: u64,
    alive: bool,
    fails_all: bool,
    defects: Defects,
    epochs: BTreeMap<PoolName, u64>,
    tasks: BTreeMap<TaskKey, Task>,
    refused: BTreeSet<(JobId, u32)>,
    calls: BTreeMap<(JobId, u32), Call>,
    /// Work left at each checkpoint, by object name.
    checkpoints: BTreeMap<String, u64>,
    record: Vec<Entry>,
}

impl Endpoint {
    /// Creates an endpoint in its first boot, without tasks.
    pub fn new(listed: ListedEndpoint, speed: f64) -> Self {
        Self {
            listed,
            speed,
            boot: 1,
            alive: true,
            fails_all: false,
            defects: Defects::default(),
            epochs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            refused: BTreeSet::new(),
            calls: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            record: Vec::new(),
        }
    }

    /// Its entry in the platform's list.
    pub fn listed(&self) -> &ListedEndpoint {
        &self.listed
    }

    /// Its entry in the platform's list, to be changed.
    pub fn listed_mut(&mut self) -> &mut ListedEndpoint {
        &mut self.listed
    }

    /// Whether it answers requests.
    pub fn is_alive(&self) -> bool {
        self.alive
    }

    /// Sets whether all tasks and calls fail.
    pub fn set_fails_all(&mut self, fails_all: bool) {
        self.fails_all = fails_all;
    }

    /// Disables mechanisms.
    pub fn set_defects(&mut self, defects: Defects) {
        self.defects = defects;
    }

    /// Events recorded so far.
    pub fn record(&self) -> &[Entry] {
        &self.record
    }

    /// Kills the endpoint with all its tasks and calls.
    pub fn kill(&mut self, now: Millis) {
        self.advance(now);
        self.alive = false;
        let active: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.is_active())
            .map(|(key, _)| key.clone())
            .collect();
        for key in active {
            self.record_event(now, &key, TaskEvent::Died);
        }
        self.tasks.clear();
        self.calls.clear();
        self.refused.clear();
        self.epochs.clear();
    }

    /// Kills the endpoint and starts its next boot, which knows no tasks, calls, refusals or epochs of the one before.
    pub fn restart(&mut self, now: Millis) {
        self.kill(now);
        self.alive = true;
        self.boot += 1;
    }

    /// Advances to `now`: ends tasks whose work is done, that were told to stop or whose lease has expired.
    pub fn advance(&mut self, now: Millis) {
        let keys: Vec<_> = self.tasks.keys().cloned().collect();
        for key in keys {
            self.advance_task(now, &key);
        }
    }

    fn advance_task(&mut self, now: Millis, key: &TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        if !task.is_active() {
            return;
        }
        let ran = task.state != TaskState::Held;
        let done_at = task.started + Millis((task.left_ms as f64 / self.speed) as u64);
        let stop_at = task
            .stopping
            .as_ref()
            .map_or(task.lease_end, |(at, _)| (*at).min(task.lease_end));
        if ran && done_at <= now && done_at <= stop_at {
            let failure = task
                .script
                .fail
                .clone()
                .or_else(|| self.fails_all.then(|| "endpoint is set to fail everything".to_owned()));
            let event = if failure.is_some() {
                TaskEvent::Failed
            } else {
                TaskEvent::Finished
            };
            task.state = match failure {
                Some(reason) => TaskState::Failed { reason },
                None => TaskState::Finished {
                    answer: task.script.answer.clone(),
                },
            };
            self.record_event(done_at, key, event);
            return;
        }
        if stop_at > now {
            return;
        }
        let lapsed = task.lease_end <= stop_at;
        let mut checkpoint = None;
        if let Some((_, Some(object))) = task.stopping.take()
            && !lapsed
        {
            let work_done_ms = (stop_at.since(task.started).0 as f64 * self.speed) as u64;
            self.checkpoints
                .insert(object.clone(), task.left_ms.saturating_sub(work_done_ms));
            checkpoint = Some(object);
        }
        task.state = TaskState::Stopped { checkpoint, ran };
        self.record_event(
            stop_at,
            key,
            if lapsed { TaskEvent::Lapsed } else { TaskEvent::Stopped },
        );
    }

    fn record_event(&mut self, at: Millis, key: &TaskKey, event: TaskEvent) {
        let (members, resumed) = self
            .tasks
            .get(key)
            .map_or((1, false), |task| (task.members, task.resumed));
        self.record.push(Entry {
            at,
            endpoint: self.listed.name.clone(),
            job: key.0.clone(),
            attempt: key.1,
            member: key.2,
            members,
            resumed,
            event,
        });
    }

    /// Executes a batch of commands; returns one reply for each.
    pub fn command(&mut self, now: Millis, batch: &Batch) -> Vec<Reply> {
        self.advance(now);
        if batch.boot.is_some_and(|boot| boot != self.boot) {
            return batch
                .commands
                .iter()
                .map(|_| Reply::Rebooted { boot: self.boot })
                .collect();
        }
        let newest_epoch = self.epochs.entry(batch.pool.clone()).or_default();
        if batch.epoch < *newest_epoch && !self.defects.ignores_epochs {
            let epoch = *newest_epoch;
            return batch.commands.iter().map(|_| Reply::Stale { epoch }).collect();
        }
        *newest_epoch = batch.epoch.max(*newest_epoch);
        if let Some(lease_ms) = batch.renew_ms {
            for task in self
                .tasks
                .values_mut()
                .filter(|task| task.pool == batch.pool && task.is_active())
            {
                task.lease_end = now + Millis(lease_ms);
            }
        }
        let lease = batch.renew_ms.map_or(DEFAULT_LEASE, Millis);
        batch
            .commands
            .iter()
            .map(|command| self.execute(now, &batch.pool, lease, command))
            .collect()
    }

    fn execute(&mut self, now: Millis, pool: &PoolName, lease: Millis, command: &Command) -> Reply {
        let key = (command.job.clone(), command.attempt, command.member);
        let attempt = (command.job.clone(), command.attempt);
        if let Action::Prepare { .. } = command.action {
            if self.refused.contains(&attempt) {
                return Reply::Task {
                    state: TaskState::Refused,
                };
            }
            if !self.tasks.contains_key(&key)
                && let Some(refusal) = self.prepare(now, pool, lease, &key, &command.action)
            {
                return refusal;
            }
        }
        let closes_attempt = command.action == Action::Refuse || command.action == Action::Forget;
        if closes_attempt && !self.defects.forgets_refusals {
            self.refused.insert(attempt);
        }
        let Some(task) = self.tasks.get_mut(&key) else {
            return match command.action {
                Action::Refuse | Action::Forget => Reply::Task {
                    state: TaskState::Refused,
                },
                _ => Reply::Absent,
            };
        };
        match (&command.action, &task.state) {
            (Action::Release, TaskState::Held) => {
                task.state = TaskState::Running;
                task.started = now;
                self.record_event(now, &key, TaskEvent::Started);
                self.advance_task(now, &key);
            }
            (Action::Stop { .. } | Action::Refuse, TaskState::Held) => {
                task.state = match command.action {
                    Action::Refuse => TaskState::Refused,
                    _ => TaskState::Stopped {
                        checkpoint: None,
                        ran: false,
                    },
                };
                self.record_event(now, &key, TaskEvent::Refused);
            }
            (Action::Stop { checkpoint, grace_ms }, TaskState::Running) => {
                let checkpoint_fits = checkpoint.is_some() && task.script.checkpoint_ms <= *grace_ms;
                let wait_ms = if checkpoint.is_some() {
                    task.script.checkpoint_ms.min(*grace_ms)
                } else {
                    0
                };
                task.state = TaskState::Stopping;
                task.stopping = Some((now + Millis(wait_ms), checkpoint.clone().filter(|_| checkpoint_fits)));
                self.advance_task(now, &key);
            }
            (Action::Checkpoint { object }, TaskState::Running) => {
                let work_done_ms = (now.since(task.started).0 as f64 * self.speed) as u64;
                self.checkpoints
                    .insert(object.clone(), task.left_ms.saturating_sub(work_done_ms));
            }
            (Action::Forget, state) => {
                let state = state.clone();
                match state {
                    TaskState::Held => self.record_event(now, &key, TaskEvent::Refused),
                    TaskState::Running | TaskState::Stopping => self.record_event(now, &key, TaskEvent::Stopped),
                    _ => {}
                }
                self.tasks.remove(&key);
                return Reply::Task { state };
            }
            _ => {}
        }
        Reply::Task {
            state: self.tasks[&key].state.clone(),
        }
    }

    fn prepare(
        &mut self,
        now: Millis,
        pool: &PoolName,
        lease: Millis,
        key: &TaskKey,
        action: &Action,
    ) -> Option<Reply> {
        let Action::Prepare {
            cores,
            memory_mb,
            accelerators,
            members,
            payload,
            checkpoint,
            ..
        } = action
        else {
            return None;
        };
        if let Some(reason) = self.missing_capacity(*cores, *memory_mb, accelerators) {
            return Some(Reply::Busy { reason });
        }
        let script = Script::read(payload);
        let left_ms = checkpoint
            .as_ref()
            .and_then(|object| self.checkpoints.get(object))
            .copied();
        let task = Task {
            pool: pool.clone(),
            state: TaskState::Held,
            left_ms: left_ms.unwrap_or(script.work_ms),
            script,
            cores: *cores,
            memory_mb: *memory_mb,
            accelerators: accelerators.clone(),
            members: *members,
            resumed: checkpoint.is_some(),
            started: now,
            lease_end: now + lease,
            stopping: None,
        };
        self.tasks.insert(key.clone(), task);
        self.record_event(now, key, TaskEvent::Held);
        if self.defects.starts_when_prepared
            && let Some(task) = self.tasks.get_mut(key)
        {
            task.state = TaskState::Running;
            self.record_event(now, key, TaskEvent::Started);
        }
        None
    }

    fn missing_capacity(&self, cores: u32, memory_mb: u64, accelerators: &[u16]) -> Option<String> {
        let active = || self.tasks.values().filter(|task| task.is_active());
        if active().count() >= usize::from(self.listed.slots) {
            return Some("no free slot".to_owned());
        }
        if active().map(|task| task.cores).sum::<u32>() + cores > self.listed.cores {
            return Some("not enough free cores".to_owned());
        }
        if active().map(|task| task.memory_mb).sum::<u64>() + memory_mb > self.listed.memory_mb {
            return Some("not enough free memory".to_owned());
        }
        for index in accelerators {
            if *index >= self.listed.accelerators {
                return Some(format!("accelerator {index} does not exist"));
            }
            if active().any(|task| task.accelerators.contains(index)) {
                return Some(format!("accelerator {index} is in use"));
            }
        }
        None
    }

    /// Reports its tasks and calls.
    pub fn report(&mut self, now: Millis) -> Report {
        self.advance(now);
        let tasks = self.tasks.iter().map(|((job, attempt, member), task)| TaskReport {
            pool: task.pool.clone(),
            job: job.clone(),
            attempt: *attempt,
            member: *member,
            state: task.state.clone(),
            cores: f64::from(task.cores),
            memory_mb: task.memory_mb,
        });
        Report {
            endpoint: self.listed.name.clone(),
            boot: self.boot,
            tasks: tasks.collect(),
            calls: self.calls.values().filter(|call| call.end > now).count() as u16,
            lag_ms: 0,
        }
    }

    /// Starts a call; returns the time at which it ends and the parts of its answer.
    pub fn call(&mut self, now: Millis, call: &CallRequest) -> Result<(Millis, Vec<CallPart>), EndpointError> {
        let key = (call.job.clone(), call.attempt);
        if self.refused.contains(&key) || call.boot.is_some_and(|boot| boot != self.boot) {
            return Err(EndpointError::Refused);
        }
        if let Some(known) = self.calls.get(&key) {
            return Ok((known.end, known.parts.clone()));
        }
        let running_calls = self.calls.values().filter(|call| call.end > now).count();
        let active_tasks = self.tasks.values().filter(|task| task.is_active()).count();
        if running_calls + active_tasks >= usize::from(self.listed.slots) {
            return Err(EndpointError::Full);
        }
        let script = Script::read(&call.payload);
        let end = now + Millis((script.work_ms as f64 / self.speed) as u64);
        let failure = script
            .fail
            .or_else(|| self.fails_all.then(|| "endpoint is set to fail everything".to_owned()));
        let count = if failure.is_some() { 1 } else { script.parts.max(1) };
        let parts: Vec<_> = (0..count)
            .map(|sequence| CallPart {
                job: call.job.clone(),
                attempt: call.attempt,
                sequence,
                last: sequence + 1 == count,
                failed: failure.is_some(),
                data: failure
                    .clone()
                    .map_or_else(|| script.answer.clone(), serde_json::Value::String),
            })
            .collect();
        let task = (call.job.clone(), call.attempt, 0);
        self.record_event(now, &task, TaskEvent::Started);
        self.record_event(
            end,
            &task,
            if failure.is_some() {
                TaskEvent::Failed
            } else {
                TaskEvent::Finished
            },
        );
        self.calls.insert(
            key,
            Call {
                end,
                parts: parts.clone(),
            },
        );
        Ok((end, parts))
    }

    /// Refuses an attempt of a call unless it has started.
    pub fn refuse(&mut self, now: Millis, job: &JobId, attempt: u32) -> Refusal {
        let key = (job.clone(), attempt);
        match self.calls.get(&key) {
            Some(call) if call.end > now => Refusal::Running,
            Some(call) => Refusal::Ended {
                parts: call.parts.clone(),
            },
            None => {
                if !self.defects.forgets_refusals && self.refused.insert(key) {
                    self.record_event(now, &(job.clone(), attempt, 0), TaskEvent::Refused);
                }
                Refusal::Refused
            }
        }
    }
}
