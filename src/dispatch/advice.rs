//! Requests to the advice service.
//!
//! For queues with advice, only the service knows on which endpoints a step may run, and an endpoint starts no task
//! without a ticket of the service. A request takes longer the more endpoints it names, and the service handles one at
//! a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::place::Demand;
use super::pool_view::PoolView;
use super::{AdviceRequest, Dispatcher, Effect};
use crate::port::{Advice, OrderError, Refusal};

/// Most endpoints that a request names. Users include one request for 30 endpoints in the expected time of a step.
const ENDPOINTS_PER_REQUEST_MAX: usize = 30;

/// Most unanswered requests at the same time. The service queues them, and declines at 32 from all instances together.
const REQUESTS_IN_FLIGHT_MAX: usize = 4;

/// How long a ticket must remain valid after a placement, in milliseconds; covers the delivery of the start order.
pub(super) const TICKET_MARGIN_MS: u64 = 300;

/// Pause after a failed request, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

impl Dispatcher {
    /// Requests advice on `endpoints` for a step, unless a request for it is unanswered or has just failed.
    pub(super) fn request_advice(&mut self, id: &Arc<str>, step_key: (u32, usize), endpoints: Vec<Arc<str>>, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(terms) = job.queue.as_ref().and_then(|queue| queue.advice) else {
            return;
        };
        if endpoints.is_empty() || self.advice_in_flight >= REQUESTS_IN_FLIGHT_MAX {
            return;
        }
        let tickets = job.tickets.entry(step_key).or_default();
        if tickets.in_flight || tickets.next_request_at > now {
            return;
        }
        tickets.in_flight = true;
        self.advice_in_flight += 1;
        let step: Arc<str> = Arc::from(format!("{id}.{}.{}", step_key.0, step_key.1));
        if tickets.unused_answers > 0 {
            self.counts.advice_unused += 1;
            let unused_answers = tickets.unused_answers;
            log::info!(step:%, unused_answers, named = endpoints.len(); "requesting advice again; no task has started with the tickets received");
        }
        // The service may have to answer all other requests before this one.
        let each_ms = terms
            .decide_ms
            .saturating_add(terms.period_ms.saturating_mul(ENDPOINTS_PER_REQUEST_MAX as u64));
        self.effects.push(Effect::AdviceRequest(AdviceRequest {
            job: Arc::clone(id),
            step_key,
            step,
            endpoints,
            valid_ms: terms.valid_ms,
            timeout_ms: each_ms
                .saturating_mul(REQUESTS_IN_FLIGHT_MAX as u64)
                .saturating_add(1_000),
            decided_at: now,
        }));
    }

    /// Applies the answer to a request.
    pub fn advised(&mut self, request: &AdviceRequest, answer: Result<Advice, OrderError>, now: u64) {
        self.advice_in_flight = self.advice_in_flight.saturating_sub(1);
        self.changed = true;
        let Some(job) = self.jobs.get_mut(&request.job) else {
            return;
        };
        let tickets = job.tickets.entry(request.step_key).or_default();
        tickets.in_flight = false;
        let took_ms = now.saturating_sub(request.decided_at);
        let advice = match answer {
            Ok(advice) => advice,
            Err(error) => {
                self.counts.advice_failed += 1;
                log::warn!(step:% = request.step, took_ms, error:% = error; "advice request failed");
                tickets.next_request_at = now + RETRY_PAUSE_MS;
                return;
            }
        };
        self.counts.advice_times.push(Duration::from_millis(took_ms));
        tickets.unused_answers += u32::from(!advice.allowed.is_empty());
        let (named, allowed) = (request.endpoints.len(), advice.allowed.len());
        log::info!(step:% = request.step, named, allowed, took_ms, valid_ms = request.valid_ms; "advice received");
        // The service issues tickets when it answers. A request may wait for others before its turn, so its own age says
        // nothing about them. What the answer takes on its way is covered by the margin of a placement.
        let until = now.saturating_add(request.valid_ms);
        let mut allowed: BTreeMap<Arc<str>, Arc<str>> = advice.allowed.into_iter().collect();
        for name in &request.endpoints {
            let Some(endpoint) = self.endpoints.get(name) else {
                continue;
            };
            tickets.set(Arc::clone(name), endpoint.entry.born, allowed.remove(name), until);
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

/// Endpoints to name in a request. Those with free resources for a task come first, and expired tickets are renewed
/// only there; endpoints that were refused or have a valid ticket are left out.
pub(super) fn endpoints_to_ask(views: &PoolView, demand: &Demand<'_>) -> Vec<Arc<str>> {
    let tickets = demand.permit.tickets();
    let mut ranked = Vec::new();
    for view in views.iter() {
        if tickets.is_some_and(|tickets| tickets.is_refused(&view.name)) || demand.permit.allows(view) {
            continue;
        }
        if demand.fitting_tasks(view, &view.capacity) == 0 {
            continue;
        }
        let full = demand.fitting_tasks(view, &view.available()) == 0;
        if full && tickets.is_some_and(|tickets| tickets.is_allowed(&view.name)) {
            continue;
        }
        ranked.push((full, Arc::clone(&view.name)));
    }
    ranked.sort_by_key(|(full, _)| *full);
    ranked.truncate(ENDPOINTS_PER_REQUEST_MAX);
    ranked.into_iter().map(|(_, name)| name).collect()
}
