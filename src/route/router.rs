//! The router of one instance.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::endpoint_state::EndpointState;
use super::{Backend, CallResult, RetryBudget};
use crate::name::EndpointName;
use crate::time::Millis;

/// Bound of an endpoint's speed relative to the fleet's mean, and of its inverse; speeds in a fleet differ by a factor
/// of 4.
pub const RELATIVE_SPEED_MAX: f64 = 4.0;
/// Most random draws for each candidate before the endpoints are searched in order.
const DRAWS_MAX: u32 = 32;
/// Weight of the newest duration in the moving average of the fleet.
const FLEET_MEAN_WEIGHT: f64 = 0.02;

/// Share of calls that are answered too fast for a second copy.
const HEDGE_QUANTILE: f64 = 0.95;
/// Relative step of the running estimate of the duration at [`HEDGE_QUANTILE`].
const HEDGE_QUANTILE_STEP: f64 = 0.02;

/// Picks endpoints for calls and counts the calls that this instance has in flight.
#[derive(Debug, Clone)]
pub struct Router {
    endpoints: Vec<EndpointState>,
    instances: u32,
    fleet_mean_ms: f64,
    hedge_quantile_ms: f64,
    retry_budget: RetryBudget,
    rng: SmallRng,
}

impl Router {
    /// A router without endpoints; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            instances: 1,
            fleet_mean_ms: 0.0,
            hedge_quantile_ms: 0.0,
            retry_budget: RetryBudget::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the endpoints. Endpoints that remain keep their state; a removed one gets no new calls and is dropped
    /// once its calls have finished.
    pub fn set_endpoints<I>(&mut self, backends: I)
    where
        I: IntoIterator<Item = Backend>,
    {
        for state in &mut self.endpoints {
            state.backend.open = false;
        }
        for backend in backends {
            match self.find(&backend.name) {
                Ok(i) => self.endpoints[i].backend = backend,
                Err(i) => self.endpoints.insert(i, EndpointState::new(backend)),
            }
        }
        self.endpoints.retain(|state| state.backend.open || state.in_flight > 0);
    }

    /// Sets the number of live instances, this one included, that share slots and connections.
    pub fn set_instances(&mut self, count: usize) {
        self.instances = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    }

    /// Chooses an endpoint that is not in `avoid` and reserves a slot there; `None` if none has room.
    pub fn pick(&mut self, now: Millis, avoid: &[EndpointName]) -> Option<EndpointName> {
        let first = self.draw(now, avoid, None)?;
        let chosen = match self.draw(now, avoid, Some(first)) {
            Some(second) if self.load(now, second) < self.load(now, first) => second,
            _ => first,
        };
        self.endpoints[chosen].in_flight += 1;
        self.retry_budget.deposit();
        Some(self.endpoints[chosen].backend.name.clone())
    }

    /// Releases a reserved slot and records the call's result and duration.
    pub fn finish_call(&mut self, now: Millis, endpoint: &EndpointName, result: CallResult, duration: Millis) {
        let Ok(i) = self.find(endpoint) else {
            return;
        };
        if result == CallResult::Answered {
            let ms = (duration.0 as f64).max(1.0);
            if self.fleet_mean_ms == 0.0 {
                self.fleet_mean_ms = ms;
                self.hedge_quantile_ms = ms;
            }
            // The estimate moves up by q or down by 1 - q, so that it settles where a share q of the calls is faster.
            let step = if ms > self.hedge_quantile_ms {
                HEDGE_QUANTILE
            } else {
                HEDGE_QUANTILE - 1.0
            };
            self.hedge_quantile_ms *= 1.0 + HEDGE_QUANTILE_STEP * step;
            self.fleet_mean_ms += (ms - self.fleet_mean_ms) * FLEET_MEAN_WEIGHT;
        }
        self.endpoints[i].finish(now, result, duration);
    }

    /// Records how many calls from all instances an endpoint reports as running.
    pub fn record_report(&mut self, now: Millis, endpoint: &EndpointName, calls: u32) {
        if let Ok(i) = self.find(endpoint) {
            self.endpoints[i].record_report(now, calls);
        }
    }

    /// Takes a token from the retry budget; returns false if the call must not be tried again.
    pub fn take_retry_token(&mut self, now: Millis) -> bool {
        self.retry_budget.withdraw(now)
    }

    /// Time after which a second copy of an idempotent call may be sent if the retry budget has a token; 95 in 100
    /// calls are faster. `None` before the first answer.
    pub fn hedge_delay(&self) -> Option<Millis> {
        (self.hedge_quantile_ms > 0.0).then(|| Millis(self.hedge_quantile_ms.ceil() as u64))
    }

    /// Calls that this instance has in flight on an endpoint.
    pub fn calls_in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.find(endpoint).map_or(0, |i| self.endpoints[i].in_flight)
    }

    /// Most connections that this instance may hold to an endpoint, idle ones included.
    pub fn connection_limit(&self, endpoint: &EndpointName) -> u32 {
        self.find(endpoint)
            .map_or(0, |i| self.endpoints[i].connection_limit(self.instances))
    }

    /// Index of an endpoint, or where to insert it.
    fn find(&self, endpoint: &EndpointName) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|state| state.backend.name.cmp(endpoint))
    }

    fn load(&self, now: Millis, i: usize) -> f64 {
        self.endpoints[i].load(now, self.fleet_mean_ms)
    }

    fn is_usable(&self, now: Millis, avoid: &[EndpointName], other: Option<usize>, i: usize) -> bool {
        let state = &self.endpoints[i];
        Some(i) != other && state.has_room(now, self.instances) && !avoid.contains(&state.backend.name)
    }

    /// Draws a usable endpoint other than `other` with a probability proportional to its speed; searches in order if
    /// the draws find none.
    fn draw(&mut self, now: Millis, avoid: &[EndpointName], other: Option<usize>) -> Option<usize> {
        if self.endpoints.is_empty() {
            return None;
        }
        for _ in 0..DRAWS_MAX {
            let i = self.rng.random_range(0..self.endpoints.len());
            let weight = self.endpoints[i].relative_speed(self.fleet_mean_ms) / RELATIVE_SPEED_MAX;
            if self.rng.random::<f64>() < weight && self.is_usable(now, avoid, other, i) {
                return Some(i);
            }
        }
        let offset = self.rng.random_range(0..self.endpoints.len());
        for step in 0..self.endpoints.len() {
            let i = (offset + step) % self.endpoints.len();
            if self.is_usable(now, avoid, other, i) {
                return Some(i);
            }
        }
        None
    }
}
