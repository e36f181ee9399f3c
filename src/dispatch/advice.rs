//! Questions to the advice service.
//!
//! Only the service knows on which endpoints a step of such a queue may run, and an endpoint starts nothing without its
//! ticket. A question takes longer the more endpoints it names, and the service answers one at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::place::Demand;
use super::pool_view::PoolView;
use super::{AdviceRequest, Dispatcher, Effect};
use crate::port::{Advice, OrderError, Refusal};

/// Endpoints that a question names at most: the users count one question on 30 endpoints into the time of a step.
const ENDPOINTS_PER_REQUEST_MAX: usize = 30;

/// Questions under way at the same time. The service takes them in turn and declines at 32 from all instances.
const REQUESTS_IN_FLIGHT_MAX: usize = 4;

/// Time for the order on its way within which a ticket must still be valid, in milliseconds.
pub(super) const TICKET_MARGIN_MS: u64 = 300;

/// Pause after a question without an answer, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

impl Dispatcher {
    /// Asks where a step that found no room may run, if something new may come of it.
    pub(super) fn ask(&mut self, id: &Arc<str>, step_key: (u32, usize), endpoints: Vec<Arc<str>>, now: u64) {
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
        let step = Arc::from(format!("{id}.{}.{}", step_key.0, step_key.1));
        // All questions under way are answered before this one.
        let each_ms = terms.decide_ms + terms.period_ms * ENDPOINTS_PER_REQUEST_MAX as u64;
        self.effects.push(Effect::AdviceRequest(AdviceRequest {
            job: Arc::clone(id),
            step_key,
            step,
            endpoints,
            valid_ms: terms.valid_ms,
            timeout_ms: REQUESTS_IN_FLIGHT_MAX as u64 * each_ms + 1_000,
            decided_at: now,
        }));
    }

    /// Answer to a question.
    pub fn advised(&mut self, ask: &AdviceRequest, answer: Result<Advice, OrderError>, now: u64) {
        self.advice_in_flight = self.advice_in_flight.saturating_sub(1);
        self.changed = true;
        let Some(job) = self.jobs.get_mut(&ask.job) else { return };
        let tickets = job.tickets.entry(ask.step_key).or_default();
        tickets.in_flight = false;
        let advice = match answer {
            Ok(advice) => advice,
            Err(error) => {
                log::warn!(step:% = ask.step, error:% = error; "no advice");
                tickets.next_request_at = now + RETRY_PAUSE_MS;
                return;
            }
        };
        log::info!(step:% = ask.step, named = ask.endpoints.len(), allowed = advice.allowed.len(); "advice");
        // Valid since some time after the question was sent.
        let until = ask.decided_at + ask.valid_ms;
        let mut allowed: BTreeMap<Arc<str>, Arc<str>> = advice.allowed.into_iter().collect();
        for name in &ask.endpoints {
            let Some(endpoint) = self.endpoints.get(name) else {
                continue;
            };
            tickets.set(Arc::clone(name), endpoint.entry.born, allowed.remove(name), until);
        }
    }

    /// A start was refused for its ticket.
    pub(super) fn ticket_refused(&mut self, id: &Arc<str>, position: usize, endpoint: &str, refusal: Refusal) {
        if refusal != Refusal::Ticket {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &job.units[position];
        let step_key = (unit.occurrence, unit.step);
        if let Some(tickets) = job.tickets.get_mut(&step_key) {
            tickets.expire(endpoint);
        }
    }
}

/// Endpoints worth asking about: those with room for a task come first, and passed tickets are renewed only there.
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
