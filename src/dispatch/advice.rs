//! Requests to the advice service.
//!
//! For queues with advice, only the service knows on which endpoints a step may run, and an endpoint starts no task
//! without a ticket of the service. A request takes longer the more endpoints it names, and the service handles one at
//! a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::advice_candidate::AdviceCandidate;
use super::claim_chance::ClaimChance;
use super::place::Demand;
use super::pool_view::PoolView;
use super::rank::Rank;
use super::round_cache::RoundCache;
use super::{AdviceRequest, Dispatcher, Effect};
use crate::port::{Advice, OrderError, Refusal};

/// Time from a placement to the arrival of its start order, in milliseconds.
const START_TRANSIT_MS: u64 = 300;

impl Dispatcher {
    /// Requests advice for as many of these steps as calls may be sent. A step that cannot start yet is asked for only while the
    /// service has nothing else to do.
    pub(super) fn request_advice(&mut self, mut candidates: Vec<AdviceCandidate>, now: u64) {
        candidates.sort_by_key(|candidate| candidate.order);
        for candidate in candidates {
            if !self.advice_calls.may_send(now) || !candidate.starts() && self.advice_calls.is_busy(now) {
                break;
            }
            self.send_advice_request(candidate, now);
        }
    }

    /// What to ask for a step whose next unit has this demand and cannot be placed; `None` while a call for it is expected to be
    /// answered or has just failed, or if no call may be sent.
    pub(super) fn advice_candidate(
        &self,
        id: &Arc<str>,
        step_key: (u32, usize),
        rank: &Rank,
        views: &PoolView,
        demand: &Demand<'_>,
        now: u64,
    ) -> Option<AdviceCandidate> {
        if !self.advice_calls.may_send(now) {
            return None;
        }
        if let Some(tickets) = demand.permit.tickets() {
            let is_on_time = |call| self.advice_calls.is_on_time(call, now);
            if tickets.next_request_at > now || tickets.call.is_some_and(is_on_time) {
                return None;
            }
        }
        let claim = ClaimChance::of(rank, self.guarantee_is_due(id, now));
        AdviceCandidate::new(id, step_key, rank, claim, views, demand)
    }

    /// Whether advice on a step with this demand was just found to be wanted, or will soon be there.
    pub(super) fn awaits_advice(
        &self,
        id: &Arc<str>,
        step_key: (u32, usize),
        demand: &Demand<'_>,
        cache: &RoundCache,
        now: u64,
    ) -> bool {
        let wanted = cache.advice.last();
        if wanted.is_some_and(|wanted| wanted.job == *id && wanted.step_key == step_key && wanted.starts()) {
            return true;
        }
        let call = demand.permit.tickets().and_then(|tickets| tickets.call);
        call.is_some_and(|call| self.advice_calls.is_expected(call, now))
    }

    fn send_advice_request(&mut self, candidate: AdviceCandidate, now: u64) {
        let AdviceCandidate {
            job: id,
            step_key,
            endpoints,
            ..
        } = candidate;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(terms) = job.queue.as_ref().and_then(|queue| queue.advice) else {
            return;
        };
        let tickets = job.tickets.entry(step_key).or_default();
        let periods_ms = terms.period_ms.saturating_mul(endpoints.len() as u64);
        let call = self.advice_calls.send(terms.decide_ms.saturating_add(periods_ms), now);
        tickets.call = Some(call.number);
        let step: Arc<str> = Arc::from(format!("{id}.{}.{}", step_key.0, step_key.1));
        if tickets.unused_answers > 0 {
            self.counts.advice_unused += 1;
            let unused_answers = tickets.unused_answers;
            log::info!(step:%, unused_answers, named = endpoints.len(); "requesting advice again; no task has started with the tickets received");
        }
        self.effects.push(Effect::AdviceRequest(AdviceRequest {
            job: id,
            step_key,
            step,
            endpoints,
            valid_ms: terms.valid_ms,
            timeout_ms: call.lost_at.saturating_sub(now),
            call: call.number,
            decided_at: now,
        }));
    }

    /// Applies the answer to a request.
    pub fn advised(&mut self, request: &AdviceRequest, answer: Result<Advice, OrderError>, now: u64) {
        match &answer {
            Ok(_) => self.advice_calls.answered(request.call, now),
            Err(error) => self.advice_calls.failed(request.call, error, now),
        }
        self.changed = true;
        let Some(job) = self.jobs.get_mut(&request.job) else {
            return;
        };
        let tickets = job.tickets.entry(request.step_key).or_default();
        let is_latest = tickets.call == Some(request.call);
        if is_latest {
            tickets.call = None;
        }
        let took_ms = now.saturating_sub(request.decided_at);
        let advice = match answer {
            Ok(advice) => advice,
            Err(error) => {
                self.counts.advice_failed += 1;
                log::warn!(step:% = request.step, took_ms, error:% = error; "advice request failed");
                if is_latest {
                    tickets.failed(&error, now);
                }
                return;
            }
        };
        tickets.failures = 0;
        self.counts.advice_times.push(Duration::from_millis(took_ms));
        tickets.unused_answers += u32::from(!advice.allowed.is_empty());
        let (named, allowed) = (request.endpoints.len(), advice.allowed.len());
        let valid_ms = advice.valid_ms.unwrap_or(request.valid_ms);
        log::info!(step:% = request.step, named, allowed, took_ms, valid_ms; "advice received");
        // The service issues tickets when it answers. A request may wait for others before its turn, so its own age says
        // nothing about them.
        let usable_ms = valid_ms - START_TRANSIT_MS.min(valid_ms / 4);
        let usable_until = now.saturating_add(usable_ms);
        let mut allowed: BTreeMap<Arc<str>, Arc<str>> = advice.allowed.into_iter().collect();
        for name in &request.endpoints {
            let Some(endpoint) = self.endpoints.get(name) else {
                continue;
            };
            tickets.set(
                Arc::clone(name),
                endpoint.entry.born,
                allowed.remove(name),
                usable_until,
            );
        }
    }

    /// Drops a ticket if an endpoint refused a start because of it.
    pub(super) fn ticket_refused(&mut self, id: &Arc<str>, position: usize, endpoint: &str, refusal: Refusal) {
        if refusal != Refusal::Ticket {
            return;
        }
        self.counts.tickets_refused += 1;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &job.units[position];
        let step_key = (unit.occurrence, unit.step);
        if let Some(tickets) = job.tickets.get_mut(&step_key) {
            tickets.expire(endpoint);
        }
    }
}
