//! The planner as a state machine.

use std::collections::{BTreeMap, BTreeSet};

use super::attempt::{Attempt, Cause, Goal};
use super::change::{Change, Seats};
use super::claim::Claim;
use super::entry::Entry;
use super::error::PlannerError;
use super::fleet::Fleet;
use super::ledger::{Committed, Ledger};
use super::request::Request;
use crate::job::{JobRow, NotRunReason, Phase};
use crate::name::{JobId, PoolName, TeamName, WorkerName};
use crate::plan::{Decision, EndKind, Event, Policy, RunningJob};
use crate::platform::{ListedWorker, Step, Version};
use crate::team::Catalog;
use crate::time::Millis;

/// Time between two looks at the queue in the table; between them, hints from other instances tell of new jobs.
const QUEUE_SCAN_EVERY: Millis = Millis::from_secs(5);
/// Time for which another planner may have gone on renewing task leases after this one took over: it stops 10 s after
/// its session has lapsed. One more second covers the drift between the clocks.
const FORMER_RENEWALS: Millis = Millis::from_secs(11);
/// Shortest and longest pause after the table refused a write.
const PAUSE_MIN: Millis = Millis(100);
const PAUSE_MAX: Millis = Millis::from_secs(2);

/// What a planner needs to know of its instance at one step.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Whether the instance's session is live; without one nothing is placed.
    pub live: bool,
    /// Whether task leases may be renewed.
    pub renew: bool,
    /// The configuration in force, or the last one known.
    pub catalog: &'a Catalog,
    /// Workers in the platform's list.
    pub workers: &'a BTreeMap<WorkerName, ListedWorker>,
}

/// What a step came to.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests to carry out.
    pub requests: Vec<Request>,
    /// Jobs that ended.
    pub ended: Vec<JobId>,
}

/// Planner of one pool.
#[derive(Debug)]
pub struct Planner {
    pub(super) ledger: Ledger,
    policy: Box<dyn Policy>,
    pub(super) entries: BTreeMap<JobId, Entry>,
    pub(super) fleet: Fleet,
    /// Jobs whose rows have to be read.
    wakes: BTreeSet<JobId>,
    pub(super) fenced: bool,
    announced: bool,
    catalog: Option<u64>,
    claimed: Millis,
    scanned: Millis,
    pause: Millis,
    quiet_until: Millis,
}

impl Planner {
    /// Takes a pool over and loads its rows.
    pub fn claim(claim: Claim, policy: Box<dyn Policy>, now: Millis) -> Result<Self, PlannerError> {
        let mut ledger = claim.take()?;
        let rows = ledger.load()?;
        let entries = rows
            .into_iter()
            .filter(|(row, _)| !matches!(row.phase, Phase::Ended { .. }))
            .map(|(row, version)| (row.id.clone(), Entry::found(row, version, now)))
            .collect();
        Ok(Self {
            ledger,
            policy,
            entries,
            fleet: Fleet::default(),
            wakes: BTreeSet::new(),
            fenced: false,
            announced: false,
            catalog: None,
            claimed: now,
            scanned: now,
            pause: PAUSE_MIN,
            quiet_until: Millis::ZERO,
        })
    }

    /// The pool.
    pub fn pool(&self) -> &PoolName {
        &self.ledger.pool
    }

    /// The fencing token.
    pub fn epoch(&self) -> u64 {
        self.ledger.epoch
    }

    /// Version of the pool row that this planner wrote.
    pub fn fence(&self) -> Version {
        self.ledger.fence
    }

    /// Number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.row.phase == Phase::Queued)
            .count()
    }

    /// Workers in quarantine, with the reason.
    pub fn quarantined(&self) -> BTreeMap<WorkerName, String> {
        let rows = self.ledger.workers.iter();
        rows.filter_map(|(name, (row, _))| Some((name.clone(), row.quarantine.clone()?)))
            .collect()
    }

    /// Guarantees that the capacity left cannot hold now, in a sentence for each team.
    pub fn at_risk(&self) -> BTreeMap<TeamName, String> {
        self.policy.at_risk()
    }

    /// Earliest time at which a step may be needed without a further event.
    pub fn wake_at(&self) -> Option<Millis> {
        self.policy.wake()
    }

    /// Tells of a job that is new or has been cancelled.
    pub fn wake(&mut self, job: JobId) {
        self.wakes.insert(job);
    }

    /// Goes on as far as possible without waiting for workers.
    pub fn step(&mut self, now: Millis, view: View<'_>) -> Result<Progress, PlannerError> {
        if self.fenced {
            return Err(PlannerError::Fenced);
        }
        self.observe(now, view);
        let mut progress = Progress::default();
        if now >= self.quiet_until {
            match self.write(now, view, &mut progress) {
                Ok(()) => {}
                Err(PlannerError::Fenced) => return Err(PlannerError::Fenced),
                Err(error) => {
                    log::warn!("pool {}: {error}", self.ledger.pool);
                    self.back_off(now);
                }
            }
        }
        progress.requests = self.requests(now, view.renew);
        Ok(progress)
    }

    /// Gives the pool up. Nothing is done for it here after that, whatever becomes of the write.
    pub fn release(&mut self) -> Result<(), PlannerError> {
        self.ledger.release()?;
        self.fenced = true;
        Ok(())
    }

    fn back_off(&mut self, now: Millis) {
        self.quiet_until = now + self.pause;
        self.pause = Millis(self.pause.0 * 2).min(PAUSE_MAX);
    }

    fn observe(&mut self, now: Millis, view: View<'_>) {
        if let Some(pool) = view.catalog.pools.get(&self.ledger.pool) {
            let renewed = self.claimed + FORMER_RENEWALS;
            for event in self.fleet.refresh(now, pool, view.workers, renewed) {
                self.policy.apply(now, event);
            }
        }
        if self.catalog != Some(view.catalog.number) {
            self.catalog = Some(view.catalog.number);
            self.policy.apply(now, Event::Teams(view.catalog.teams.clone()));
        }
        if !self.announced {
            self.announced = true;
            let entries: Vec<_> = self.entries.values().map(|entry| announcement(entry, now)).collect();
            let quarantined = self.quarantined().into_keys().map(Event::WorkerQuarantined);
            for event in entries.into_iter().chain(quarantined) {
                self.policy.apply(now, event);
            }
        }
        self.lapse(now);
        for (id, entry) in &mut self.entries {
            let released = entry.is_released();
            let Some(attempt) = &mut entry.attempt else { continue };
            if released && !attempt.announced {
                attempt.announced = true;
                self.policy.apply(now, Event::Started { job: id.clone() });
            }
        }
    }

    /// Counts the members on workers whose leases have lapsed as gone.
    fn lapse(&mut self, now: Millis) {
        let fleet = &self.fleet;
        if !fleet.contacts.values().any(|contact| contact.is_down(now)) {
            return;
        }
        for entry in self.entries.values_mut() {
            // Nothing of a placed attempt runs, so a silent worker need not be waited for.
            let undone = matches!(entry.row.phase, Phase::Placed { .. })
                && entry.attempt.as_ref().is_some_and(|attempt| attempt.goal != Goal::Run);
            for (member, seat) in entry.members_mut() {
                let Some(contact) = fleet.contacts.get(&seat.worker) else {
                    continue;
                };
                let over = contact.has_lapsed(now) || (undone && contact.is_down(now));
                member.gone |= over && !member.is_settled();
            }
        }
    }

    /// Everything that reads or writes the table.
    fn write(&mut self, now: Millis, view: View<'_>, progress: &mut Progress) -> Result<(), PlannerError> {
        self.take_in(now)?;
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            if let Some(change) = entry.advance(now) {
                changes.push(change);
            } else if entry.row.cancel && entry.row.phase == Phase::Queued {
                let ran = entry.row.started;
                changes.push(entry.end(crate::job::Outcome::Cancelled { ran }, EndKind::Cancelled, None));
            } else if entry.is_overdue(now) {
                let message = "the job did not start before its deadline".to_owned();
                changes.push(entry.reject(NotRunReason::Deadline, message, false));
            }
        }
        self.commit(now, changes, progress)?;
        if !view.live || now < self.quiet_until || !self.fleet.is_known(now) {
            return Ok(());
        }
        let changes = self.decide(now)?;
        self.commit(now, changes, progress)
    }

    /// Reads the rows of jobs that are new or cancelled.
    fn take_in(&mut self, now: Millis) -> Result<(), PlannerError> {
        if now.since(self.scanned) >= QUEUE_SCAN_EVERY {
            self.scanned = now;
            for (id, version) in self.ledger.queued()? {
                if self.entries.get(&id).is_none_or(|entry| entry.version < version) {
                    self.wakes.insert(id);
                }
            }
        }
        if self.wakes.is_empty() {
            return Ok(());
        }
        let ids: Vec<_> = self.wakes.iter().cloned().collect();
        let rows = self.ledger.read_jobs(&ids)?;
        self.wakes.clear();
        for (row, version) in rows {
            if row.pool == self.ledger.pool {
                self.update(now, row, version);
            }
        }
        Ok(())
    }

    /// Takes a row as it is now in the table. Its phase differs from what is in memory only if the caller cancelled the
    /// job while it waited, or if this planner's own write took effect and neither its answer nor the read-back arrived.
    fn update(&mut self, now: Millis, row: JobRow, version: Version) {
        let id = row.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            if row.phase == Phase::Queued {
                let entry = Entry::found(row, version, now);
                self.policy.apply(now, Event::Queued(entry.queued_job()));
                self.entries.insert(id, entry);
            }
            return;
        };
        if version <= entry.version {
            return;
        }
        let before = std::mem::replace(&mut entry.row, row);
        entry.version = version;
        let held = entry.attempt.is_some();
        if matches!(entry.row.phase, Phase::Ended { .. }) {
            self.entries.remove(&id);
            self.forget(&before);
            self.policy.apply(now, released(id, held, EndKind::Cancelled));
            return;
        }
        match (&entry.row.phase, held) {
            (Phase::Queued, true) => {
                entry.attempt = None;
                let queued = entry.queued_job();
                self.forget(&before);
                self.policy.apply(now, released(id, held, EndKind::Stopped));
                self.policy.apply(now, Event::Queued(queued));
            }
            (Phase::Placed { .. } | Phase::Running { .. }, false) => {
                *entry = Entry::found(entry.row.clone(), version, now);
                let found = announcement(entry, now);
                self.policy.apply(now, found);
            }
            (Phase::Running { .. }, true) if before.phase != entry.row.phase => {
                entry.attempt.iter_mut().for_each(|attempt| attempt.since = now);
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: Millis) -> Result<Vec<Change>, PlannerError> {
        let mut changes = Vec::new();
        for decision in self.policy.decide(now) {
            match decision {
                Decision::Place { job, seats, guaranteed } => {
                    let Some(entry) = self.entries.get(&job) else {
                        self.policy.apply(
                            now,
                            Event::Unplaced {
                                job: job.clone(),
                                worker: None,
                            },
                        );
                        self.policy.apply(now, Event::Withdrawn(job));
                        continue;
                    };
                    let phase = Phase::Placed { seats, guaranteed };
                    let row = JobRow {
                        phase,
                        attempt: entry.row.attempt + 1,
                        ..entry.row.clone()
                    };
                    changes.push(Change {
                        seats: Seats::Take,
                        ..Change::new(Step::Place, row)
                    });
                }
                Decision::Stop { job, .. } => {
                    if let Some(attempt) = self.entries.get_mut(&job).and_then(|entry| entry.attempt.as_mut()) {
                        attempt.stop(Cause::Preempted);
                    }
                }
                Decision::Reject { job, reason, failed } => {
                    let Some(entry) = self.entries.get(&job) else { continue };
                    changes.push(entry.reject(NotRunReason::Impossible, reason, failed));
                }
                Decision::Quarantine { worker, reason } => self.ledger.quarantine(&worker, Some(reason))?,
                Decision::Reinstate { worker } => self.ledger.quarantine(&worker, None)?,
            }
        }
        Ok(changes)
    }

    fn commit(&mut self, now: Millis, changes: Vec<Change>, progress: &mut Progress) -> Result<(), PlannerError> {
        if changes.is_empty() {
            return Ok(());
        }
        let mut by_step: BTreeMap<Step, Vec<Change>> = BTreeMap::new();
        for mut change in changes {
            // A job ends only after its answer is safe; until then the end is tried again at each step.
            if let Some((name, bytes)) = change.row.detach_answer()
                && let Err(error) = self.ledger.objects.put(&name, &bytes)
            {
                log::warn!("job {}: {error}", change.row.id);
                continue;
            }
            by_step.entry(change.step).or_default().push(change);
        }
        for changes in by_step.into_values() {
            let versions = changes
                .iter()
                .filter_map(|change| Some((change.row.id.clone(), self.entries.get(&change.row.id)?.version)))
                .collect();
            let results = match self.ledger.commit(&changes, &versions) {
                Ok(results) => results,
                Err(error) => {
                    self.revert(now, &changes);
                    return Err(error);
                }
            };
            for (change, result) in changes.into_iter().zip(results) {
                self.settle(now, change, result, progress);
            }
        }
        Ok(())
    }

    /// Tells the decision core that placements and rejections are not certain; their rows are read again.
    fn revert(&mut self, now: Millis, changes: &[Change]) {
        for change in changes {
            let job = change.row.id.clone();
            self.wakes.insert(job.clone());
            if change.step == Step::Place {
                self.policy.apply(now, Event::Unplaced { job, worker: None });
            }
        }
    }

    fn settle(&mut self, now: Millis, change: Change, result: Committed, progress: &mut Progress) {
        let job = change.row.id.clone();
        match result {
            Committed::Done(version) => {
                self.pause = PAUSE_MIN;
                self.done(now, change, version, progress);
            }
            Committed::Moved(found) => {
                self.give_back(now, &change);
                if let Some(found) = found {
                    let (row, version) = *found;
                    self.update(now, row, version);
                } else {
                    self.entries.remove(&job);
                    self.policy.apply(now, Event::Withdrawn(job));
                }
            }
            Committed::Refused => {
                self.give_back(now, &change);
                self.back_off(now);
            }
        }
    }

    /// Tells the decision core that a decision was not carried out.
    fn give_back(&mut self, now: Millis, change: &Change) {
        let job = change.row.id.clone();
        if change.step == Step::Place {
            self.policy.apply(now, Event::Unplaced { job, worker: None });
        } else if change.step == Step::End
            && let Some(entry) = self.entries.get(&job)
            && entry.row.phase == Phase::Queued
        {
            self.policy.apply(now, Event::Queued(entry.queued_job()));
        }
    }

    fn done(&mut self, now: Millis, change: Change, version: Version, progress: &mut Progress) {
        let job = change.row.id.clone();
        let Some(entry) = self.entries.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(&mut entry.row, change.row);
        entry.version = version;
        match change.step {
            Step::Place => {
                let members = entry.seats().len();
                entry.attempt = Some(Attempt::new(Goal::Run, members, now));
            }
            Step::Run => entry.attempt.iter_mut().for_each(|attempt| attempt.since = now),
            Step::Requeue => {
                entry.attempt = None;
                let queued = entry.queued_job();
                self.forget(&before);
                match change.end {
                    None => self.policy.apply(
                        now,
                        Event::Unplaced {
                            job,
                            worker: change.worker,
                        },
                    ),
                    Some(kind) => {
                        self.policy.apply(
                            now,
                            Event::Ended {
                                job,
                                kind,
                                worker: change.worker,
                            },
                        );
                        self.policy.apply(now, Event::Queued(queued));
                    }
                }
            }
            _ => {
                self.entries.remove(&job);
                self.forget(&before);
                progress.ended.push(job.clone());
                let event = match change.end {
                    Some(kind) if before.phase != Phase::Queued => Event::Ended {
                        job,
                        kind,
                        worker: change.worker,
                    },
                    _ => Event::Withdrawn(job),
                };
                self.policy.apply(now, event);
            }
        }
    }

    /// Lets the workers forget an attempt whose end is written.
    fn forget(&mut self, row: &JobRow) {
        let (Phase::Placed { seats, .. } | Phase::Running { seats, .. }) = &row.phase else {
            return;
        };
        for (member, seat) in (0..).zip(seats) {
            if let Some(contact) = self.fleet.contacts.get_mut(&seat.worker) {
                contact.forget.push((row.id.clone(), row.attempt, member));
            }
        }
    }
}

/// Tells the decision core that a job found to be over no longer waits or holds seats.
fn released(job: JobId, held: bool, kind: EndKind) -> Event {
    if held {
        let worker = None;
        return Event::Ended { job, kind, worker };
    }
    Event::Withdrawn(job)
}

fn announcement(entry: &Entry, now: Millis) -> Event {
    let job = entry.queued_job();
    match &entry.row.phase {
        Phase::Placed { seats, guaranteed } | Phase::Running { seats, guaranteed } => Event::Recovered(RunningJob {
            job,
            seats: seats.clone(),
            guaranteed: *guaranteed,
            started: now,
        }),
        _ => Event::Queued(job),
    }
}
