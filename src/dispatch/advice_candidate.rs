//! Steps for which advice is wanted.

use std::sync::Arc;

use super::claim_chance::ClaimChance;
use super::place::{self, Demand};
use super::pool_view::PoolView;
use super::rank::Rank;

/// Most endpoints that a request names. Users include one request for 30 endpoints in the expected time of a step.
const ENDPOINTS_PER_REQUEST_MAX: usize = 30;

/// Order in which steps are asked for: first those that could start if the service allowed them to, so that none of them waits
/// for a call that starts nothing; then those without an unanswered call, whose answer may still come; then by rank.
pub(super) type AdviceOrder = (bool, bool, Rank);

/// A step that could use advice on some endpoints.
#[derive(Debug, Clone)]
pub(super) struct AdviceCandidate {
    /// Place among the steps of a round.
    pub order: AdviceOrder,
    /// Id of the job.
    pub job: Arc<str>,
    /// Occurrence and step.
    pub step_key: (u32, usize),
    /// Endpoints to name, at least one.
    pub endpoints: Vec<Arc<str>>,
}

impl AdviceCandidate {
    /// What to ask for a step whose next unit has this demand and cannot be placed; `None` if no endpoint is to be named. If the
    /// unit does not fit on the endpoints that it prefers, others are named, too: the service may allow no others.
    pub fn new(
        job: &Arc<str>,
        step_key: (u32, usize),
        rank: &Rank,
        claim: ClaimChance,
        views: &PoolView,
        demand: &Demand<'_>,
    ) -> Option<Self> {
        let fits = |demand: &Demand<'_>| place::place(views, &demand.with_prospects()).is_some();
        let fits_preferred = fits(demand);
        let starts = fits_preferred || claim == ClaimChance::Due;
        let relaxed = demand.without_preferences();
        let endpoints = if fits_preferred {
            endpoints_to_ask(views, demand, true, claim)
        } else {
            endpoints_to_ask(views, &relaxed, starts || fits(&relaxed), claim)
        };
        let unanswered = demand.permit.tickets().is_some_and(|tickets| tickets.call.is_some());
        (!endpoints.is_empty()).then(|| Self {
            order: (!starts, unanswered, *rank),
            job: Arc::clone(job),
            step_key,
            endpoints,
        })
    }

    /// Whether the step could start with the tickets.
    pub fn starts(&self) -> bool {
        !self.order.0
    }
}

/// Endpoints to name in a request. Those with free resources for a task come first. Left out are endpoints that were refused
/// or have a valid ticket and, unless the unit may claim resources, those whose expired ticket would not be used: the endpoint
/// is full, or the unit cannot start anyway.
fn endpoints_to_ask(views: &PoolView, demand: &Demand<'_>, renews_free: bool, claim: ClaimChance) -> Vec<Arc<str>> {
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
        let expired = tickets.is_some_and(|tickets| tickets.is_allowed(&view.name));
        if expired && claim == ClaimChance::None && (full || !renews_free) {
            continue;
        }
        ranked.push((full, Arc::clone(&view.name)));
    }
    ranked.sort_by_key(|(full, _)| *full);
    ranked.truncate(ENDPOINTS_PER_REQUEST_MAX);
    ranked.into_iter().map(|(_, name)| name).collect()
}
