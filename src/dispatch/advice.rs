//! Questions to the advice service.
//!
//! Only the service knows on which endpoints a step of such a queue may run, and an endpoint starts nothing without its
//! ticket. A question takes longer the more endpoints it names, and the service answers one at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::place::Demand;
use super::pool_view::Sites;
use super::{AdviceRequest, Dispatcher, Effect};
use crate::port::{Advice, OrderError, Refusal};

/// Endpoints that a question names at most: the users count one question on 30 endpoints into the time of a step.
const NAMED_MAX: usize = 30;

/// Questions under way at the same time. The service takes them in turn and declines at 32 from all instances.
const ASKING_MAX: usize = 4;

/// Time for the order on its way within which a ticket must still be valid, in milliseconds.
pub(super) const TRANSIT_MS: u64 = 300;

/// Pause after a question without an answer, in milliseconds.
const AGAIN_MS: u64 = 500;

impl Dispatcher {
    /// Asks where a step that found no room may run, if something new may come of it.
    pub(super) fn ask(&mut self, id: &Arc<str>, kind: (u32, usize), endpoints: Vec<Arc<str>>, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(terms) = job.queue.as_ref().and_then(|queue| queue.advice) else {
            return;
        };
        if endpoints.is_empty() || self.asking >= ASKING_MAX {
            return;
        }
        let tickets = job.tickets.entry(kind).or_default();
        if tickets.asking || tickets.next > now {
            return;
        }
        tickets.asking = true;
        self.asking += 1;
        let step = Arc::from(format!("{id}.{}.{}", kind.0, kind.1));
        // All questions under way are answered before this one.
        let each_ms = terms.decide_ms + terms.period_ms * NAMED_MAX as u64;
        self.effects.push(Effect::AdviceRequest(AdviceRequest {
            job: Arc::clone(id),
            kind,
            step,
            endpoints,
            valid_ms: terms.valid_ms,
            timeout_ms: ASKING_MAX as u64 * each_ms + 1_000,
            asked: now,
        }));
    }

    /// Answer to a question.
    pub fn advised(&mut self, ask: &AdviceRequest, answer: Result<Advice, OrderError>, now: u64) {
        self.asking = self.asking.saturating_sub(1);
        self.changed = true;
        let Some(job) = self.jobs.get_mut(&ask.job) else { return };
        let tickets = job.tickets.entry(ask.kind).or_default();
        tickets.asking = false;
        let advice = match answer {
            Ok(advice) => advice,
            Err(error) => {
                log::warn!(step:% = ask.step, error:% = error; "no advice");
                tickets.next = now + AGAIN_MS;
                return;
            }
        };
        log::info!(step:% = ask.step, named = ask.endpoints.len(), allowed = advice.allowed.len(); "advice");
        // Valid since some time after the question was sent.
        let until = ask.asked + ask.valid_ms;
        let mut allowed: BTreeMap<Arc<str>, Arc<str>> = advice.allowed.into_iter().collect();
        for name in &ask.endpoints {
            let Some(endpoint) = self.endpoints.get(name) else {
                continue;
            };
            tickets.learn(Arc::clone(name), endpoint.entry.born, allowed.remove(name), until);
        }
    }

    /// A start was refused for its ticket.
    pub(super) fn ticket_refused(&mut self, id: &Arc<str>, position: usize, endpoint: &str, refusal: Refusal) {
        if refusal != Refusal::Ticket {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        let unit = &job.units[position];
        let kind = (unit.occurrence, unit.step);
        if let Some(tickets) = job.tickets.get_mut(&kind) {
            tickets.expire(endpoint);
        }
    }
}

/// Endpoints worth asking about: those with room for a task come first, and passed tickets are renewed only there.
pub(super) fn worth_asking(sites: &Sites, demand: &Demand<'_>) -> Vec<Arc<str>> {
    let tickets = demand.permit.tickets();
    let mut ranked = Vec::new();
    for site in sites.iter() {
        if tickets.is_some_and(|tickets| tickets.is_refused(&site.name)) || demand.permit.allows(site) {
            continue;
        }
        if demand.fitting(site, &site.capacity) == 0 {
            continue;
        }
        let full = demand.fitting(site, &site.open()) == 0;
        if full && tickets.is_some_and(|tickets| tickets.is_allowed(&site.name)) {
            continue;
        }
        ranked.push((full, Arc::clone(&site.name)));
    }
    ranked.sort_by_key(|(full, _)| *full);
    ranked.truncate(NAMED_MAX);
    ranked.into_iter().map(|(_, name)| name).collect()
}
