//! Answers to orders, and the ends of runs, units and jobs.

use std::sync::Arc;

use super::{Dispatcher, Effect, Member, MemberState, Start, Stop, UnitState};
use crate::graph::Phase;
use crate::port::{OrderError, Refusal};

/// Pause before a start is resent after an attempt without an answer, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;

/// How long an endpoint gets no new work after it refused a start for lack of resources, in milliseconds; about the
/// time that a stop takes.
const NO_ROOM_BACKOFF_MS: u64 = 200;

impl Dispatcher {
    /// Applies the answer to a start order.
    pub fn started(&mut self, start: &Start, answer: Result<u64, OrderError>, now: u64) {
        self.changed = true;
        let Some(unit) = self.jobs.get(&start.job).and_then(|job| job.units.get(start.unit)) else {
            return;
        };
        let Some(member) = unit.members.get(start.member) else {
            return;
        };
        if unit.run != start.run || member.endpoint != start.endpoint || member.born != start.born {
            return;
        }
        let state = member.state;
        if let Ok(clock)
        | Err(OrderError::Refused {
            clock_ms: Some(clock), ..
        }) = &answer
            && let Some(endpoint) = self.endpoints.get_mut(&start.endpoint)
        {
            endpoint.clock = Some((*clock, now));
        }
        let tuning = self.tuning.clone();
        match answer {
            Ok(_) => {
                if matches!(state, MemberState::Sent { .. }) {
                    self.member(start).state = MemberState::Running;
                    self.member(start).progressed_at = now;
                }
            }
            Err(OrderError::Unknown(reason)) => {
                let MemberState::Sent { tries, .. } = state else { return };
                log::warn!(task:% = start.task, run = start.run, endpoint:% = start.endpoint, tries, reason; "no answer to start order");
                if tries >= tuning.start_tries_max {
                    self.back_off(&start.endpoint, tuning.start_backoff_ms, now);
                    self.stop_unit(&start.job, start.unit, "a start has no answer", now);
                    return;
                }
                self.member(start).state = MemberState::Sent {
                    tries,
                    resend_at: now + RETRY_PAUSE_MS,
                };
            }
            Err(error) => {
                if !matches!(state, MemberState::Sent { .. } | MemberState::Stopping { .. }) {
                    return;
                }
                let retry = match &error {
                    OrderError::Refused {
                        refusal: Refusal::Late, ..
                    } => matches!(state, MemberState::Sent { tries, .. } if tries < tuning.start_tries_max),
                    _ => false,
                };
                if retry {
                    let MemberState::Sent { tries, .. } = state else { return };
                    self.member(start).state = MemberState::Sent { tries, resend_at: now };
                    return;
                }
                let old = matches!(
                    error,
                    OrderError::Refused {
                        refusal: Refusal::Old,
                        ..
                    }
                );
                if old {
                    self.refused_as_old(start, now);
                    return;
                }
                log::info!(task:% = start.task, run = start.run, endpoint:% = start.endpoint, error:% = error; "start order refused or not sent");
                if let OrderError::Refused { refusal, .. } = &error {
                    self.ticket_refused(&start.job, start.unit, &start.endpoint, *refusal);
                }
                let given_up = matches!(state, MemberState::Stopping { .. });
                let back_off_ms = match error {
                    OrderError::Refused {
                        refusal: Refusal::Room | Refusal::Late | Refusal::Ticket,
                        ..
                    } => NO_ROOM_BACKOFF_MS,
                    // The order was held back because of that, which says nothing about the endpoint.
                    OrderError::NotSent(_) if given_up || self.withholds_starts(&start.endpoint, now) => 0,
                    _ => tuning.start_backoff_ms,
                };
                self.back_off(&start.endpoint, back_off_ms, now);
                // If this was not the first attempt, an earlier one without an answer may still be carried out.
                if state.has_one_start() {
                    self.member_gone(&start.job, start.unit, start.member, "start refused", now);
                }
                self.stop_unit(&start.job, start.unit, "a start was refused", now);
            }
        }
    }

    /// Notes that the endpoint has stopped or ended the run of a start. It may have ended as done, so the next report
    /// decides: if it lists neither the run nor its end, the run is gone.
    fn refused_as_old(&mut self, start: &Start, now: u64) {
        log::info!(task:% = start.task, run = start.run, endpoint:% = start.endpoint; "start order refused as old; waiting for a report");
        self.member(start).state = MemberState::Stopping {
            acked_at: Some(now),
            resend_at: now,
            start_pending: false,
        };
        self.back_off(&start.endpoint, NO_ROOM_BACKOFF_MS, now);
    }

    /// Member that a start order is for; the run must exist.
    pub(super) fn member(&mut self, start: &Start) -> &mut Member {
        let job = self.jobs.get_mut(&start.job).expect("the caller looked the job up");
        &mut job.units[start.unit].members[start.member]
    }

    /// Applies the answer to a stop order.
    pub fn stopped(&mut self, stop: &Stop, answer: Result<u64, OrderError>, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(&stop.endpoint) else {
            return;
        };
        let Some(placed_run) = endpoint.runs.get(&(Arc::clone(&stop.task), stop.run)).cloned() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&placed_run.job) else {
            return;
        };
        let member = &mut job.units[placed_run.unit].members[placed_run.member];
        if member.born != stop.born {
            return;
        }
        if let MemberState::Stopping {
            acked_at, resend_at, ..
        } = &mut member.state
        {
            match answer {
                Ok(_) => *acked_at = Some(now),
                Err(error) => {
                    log::info!(task:% = stop.task, run = stop.run, endpoint:% = stop.endpoint, error:% = error; "stop order failed; it will be resent");
                    *resend_at = now + self.tuning.resend_ms;
                }
            }
        }
    }

    /// Places no new work on an endpoint for some time.
    pub(super) fn back_off(&mut self, name: &Arc<str>, for_ms: u64, now: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.backoff_until = endpoint.backoff_until.max(now + for_ms);
        }
    }

    /// Gives up the current run of a unit: members whose start was not released are dropped, the others are stopped.
    pub(super) fn stop_unit(&mut self, id: &Arc<str>, position: usize, why: &'static str, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &mut job.units[position];
        if matches!(unit.state, UnitState::Done | UnitState::Waiting) {
            return;
        }
        if unit.state == UnitState::Active {
            self.counts.add_end(why);
            unit.given_up_at = now;
            unit.given_up_why = why;
            log::info!(job:% = id, unit = position, run = unit.run, why; "run of unit given up");
            job.set_state(position, UnitState::Terminating);
        }
        let unit = &mut job.units[position];
        let mut dropped = Vec::new();
        for (index, member) in unit.members.iter_mut().enumerate() {
            match member.state {
                MemberState::Planned => dropped.push(index),
                MemberState::Sent { .. } | MemberState::Running | MemberState::Recovered => {
                    member.state = MemberState::Stopping {
                        acked_at: None,
                        resend_at: now + self.tuning.resend_ms,
                        start_pending: member.state.has_one_start(),
                    };
                    self.effects.push(Effect::Stop(Stop {
                        endpoint: Arc::clone(&member.endpoint),
                        born: member.born,
                        task: Arc::clone(&member.task),
                        run: unit.run,
                    }));
                }
                MemberState::Stopping { .. } | MemberState::Gone => {}
            }
        }
        self.dirty.insert(Arc::clone(id));
        self.expect_end_now(id, position, now);
        for index in dropped {
            self.member_gone(id, position, index, why, now);
        }
        self.requeue_or_remove(id, position);
        self.changed = true;
    }

    /// Notes that the run of a member is gone; frees its resources and gives up the run of the whole unit.
    pub(super) fn member_gone(&mut self, id: &Arc<str>, position: usize, index: usize, why: &'static str, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &mut job.units[position];
        let Some(member) = unit.members.get_mut(index) else {
            return;
        };
        if member.state == MemberState::Gone {
            return;
        }
        member.state = MemberState::Gone;
        let (task, run) = (Arc::clone(&member.task), unit.run);
        if let Some(endpoint) = self.endpoints.get_mut(&member.endpoint) {
            endpoint.remove_run(&task, run);
        }
        if unit.state != UnitState::Done {
            log::info!(task:% = task, run, why; "run of member is gone");
            self.dirty.insert(Arc::clone(id));
        }
        self.changed = true;
        if unit.state == UnitState::Active {
            self.stop_unit(id, position, why, now);
        }
        self.requeue_or_remove(id, position);
    }

    /// Returns a unit to the waiting state once its last run is gone, and removes its job if nothing is left to do for it.
    pub(super) fn requeue_or_remove(&mut self, id: &Arc<str>, position: usize) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &mut job.units[position];
        if unit.state == UnitState::Terminating && unit.all_gone() {
            unit.members.clear();
            job.set_state(position, UnitState::Waiting);
        }
        self.remove_if_settled(id);
    }

    /// Removes a job whose end is stored and whose runs are all gone.
    pub(super) fn remove_if_settled(&mut self, id: &Arc<str>) {
        let Some(job) = self.jobs.get(id) else { return };
        // A job that is not dirty may still be part of a transaction without a result.
        if job.end_stored && job.all_gone() && !self.dirty.contains(id) {
            self.jobs.remove(id);
        }
    }

    /// Ends a job and stops its runs.
    pub(super) fn end_job(&mut self, id: &Arc<str>, phase: Phase, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.phase.is_final() && job.phase != phase {
            return;
        }
        if job.phase != phase {
            log::info!(job:% = id, from:? = job.phase, to:? = phase; "job ended");
            job.phase = phase;
        }
        let units = job.units.len();
        self.dirty.insert(Arc::clone(id));
        for position in 0..units {
            self.claims.remove(&(Arc::clone(id), position));
            self.stop_unit(id, position, "the job has ended", now);
        }
    }

    /// Frees the resources of runs whose leases have certainly expired, and drops unlisted endpoints without runs.
    pub(super) fn expire_leases(&mut self, now: u64) {
        let mut lapsed = Vec::new();
        for (name, endpoint) in &self.endpoints {
            if endpoint.runs.is_empty() || !endpoint.leases_have_expired(now) {
                continue;
            }
            log::info!(endpoint:% = name, runs = endpoint.runs.len(), by:? = endpoint.lease_source; "all leases on the endpoint have expired");
            lapsed.extend(endpoint.runs.values().cloned());
        }
        for placed_run in lapsed {
            self.member_gone(
                &placed_run.job,
                placed_run.unit,
                placed_run.member,
                "its lease has passed",
                now,
            );
        }
        let dropped = &mut self.dropped_endpoints;
        self.endpoints.retain(|name, endpoint| {
            // An endpoint that waits for a higher token would come back with the present one.
            let keep = endpoint.listed || !endpoint.runs.is_empty() || endpoint.fence.is_none();
            if !keep && endpoint.contacted {
                dropped.insert(Arc::clone(name), endpoint.entry.born);
            }
            keep
        });
    }

    /// Resends orders that have no answer.
    pub(super) fn resend(&mut self, now: u64) {
        // The run of a start without an answer may exist; a start that is held back here would stop it.
        let stale = self.is_stale(now);
        for (id, job) in &mut self.jobs {
            let payload = Arc::clone(&job.payload);
            let tickets = &job.tickets;
            for (position, unit) in job.units.iter_mut().enumerate() {
                let tickets = tickets.get(&(unit.occurrence, unit.step));
                let (run, checkpoint) = (unit.run, Arc::clone(&unit.checkpoint));
                for (index, member) in unit.members.iter_mut().enumerate() {
                    match &mut member.state {
                        MemberState::Sent { tries, resend_at } if *resend_at <= now && !stale => {
                            *tries += 1;
                            *resend_at = now + self.tuning.resend_ms;
                            let ticket =
                                tickets.and_then(|tickets| tickets.usable_ticket(&member.endpoint, member.born, now));
                            self.effects.push(Effect::Start(Start {
                                ticket: ticket.cloned().unwrap_or_else(|| Arc::from("")),
                                job: Arc::clone(id),
                                unit: position,
                                member: index,
                                run,
                                endpoint: Arc::clone(&member.endpoint),
                                born: member.born,
                                task: Arc::clone(&member.task),
                                payload: Arc::clone(&payload),
                                checkpoint: Arc::clone(&checkpoint),
                            }));
                        }
                        MemberState::Stopping {
                            acked_at: None,
                            resend_at,
                            ..
                        } if *resend_at <= now => {
                            *resend_at = now + self.tuning.resend_ms;
                            self.effects.push(Effect::Stop(Stop {
                                endpoint: Arc::clone(&member.endpoint),
                                born: member.born,
                                task: Arc::clone(&member.task),
                                run,
                            }));
                        }
                        _ => {}
                    }
                }
            }
        }
    }
}
