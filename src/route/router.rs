//! The router of one instance.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::endpoint_state::Lane;
use super::{Backend, CallResult, RetryBudget};
use crate::name::EndpointName;
use crate::time::Millis;

/// Bound of an endpoint's speed relative to the fleet's mean, in both directions; the fleets differ by a factor of 4.
pub const SPEED_MAX: f64 = 4.0;
/// Random draws for each candidate before all endpoints are looked at.
const DRAWS: u32 = 32;
/// Weight of the newest duration in the fleet's mean.
const SMOOTHING: f64 = 0.02;

/// Share of calls that are not worth a second copy.
const HEDGE_QUANTILE: f64 = 0.95;
/// Relative step of the running estimate of that quantile.
const HEDGE_STEP: f64 = 0.02;

/// Picks endpoints for calls and keeps count of the calls that this instance has in flight.
#[derive(Debug, Clone)]
pub struct Router {
    lanes: Vec<Lane>,
    instances: u32,
    fleet_ms: f64,
    slow_ms: f64,
    budget: RetryBudget,
    rng: SmallRng,
}

impl Router {
    /// A router without endpoints; the seed fixes its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            lanes: Vec::new(),
            instances: 1,
            fleet_ms: 0.0,
            slow_ms: 0.0,
            budget: RetryBudget::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Routes to these endpoints from now on. Endpoints that stay keep their counts; one that is gone is kept closed
    /// until its calls have finished.
    pub fn set_endpoints<I>(&mut self, backends: I)
    where
        I: IntoIterator<Item = Backend>,
    {
        for lane in &mut self.lanes {
            lane.backend.open = false;
        }
        for backend in backends {
            match self.find(&backend.name) {
                Ok(i) => self.lanes[i].backend = backend,
                Err(i) => self.lanes.insert(i, Lane::new(backend)),
            }
        }
        self.lanes.retain(|lane| lane.backend.open || lane.calls > 0);
    }

    /// Shares slots and connections with this many live instances, this one included.
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
        self.lanes[chosen].calls += 1;
        self.budget.earn();
        Some(self.lanes[chosen].backend.name.clone())
    }

    /// Gives a reserved slot back and learns from the result.
    pub fn finish_call(&mut self, now: Millis, endpoint: &EndpointName, result: CallResult, duration: Millis) {
        let Ok(i) = self.find(endpoint) else {
            return;
        };
        if result == CallResult::Answered {
            let ms = (duration.0 as f64).max(1.0);
            if self.fleet_ms == 0.0 {
                self.fleet_ms = ms;
                self.slow_ms = ms;
            }
            // Moves up by q and down by 1 - q, so that it rests where a share q of the calls is faster.
            let step = if ms > self.slow_ms {
                HEDGE_QUANTILE
            } else {
                HEDGE_QUANTILE - 1.0
            };
            self.slow_ms *= 1.0 + HEDGE_STEP * step;
            self.fleet_ms += (ms - self.fleet_ms) * SMOOTHING;
        }
        self.lanes[i].finish(now, result, duration);
    }

    /// Takes in how many calls an endpoint says that it runs for all instances.
    pub fn record_report(&mut self, now: Millis, endpoint: &EndpointName, calls: u32) {
        if let Ok(i) = self.find(endpoint) {
            self.lanes[i].report(now, calls);
        }
    }

    /// Takes a token of the retry budget; false if the call must not be tried again.
    pub fn take_retry_token(&mut self, now: Millis) -> bool {
        self.budget.spend(now)
    }

    /// Time after which a second copy of an idempotent call may be sent, if a token allows it; 95 in 100 calls are
    /// faster. `None` before any call was answered.
    pub fn hedge_delay(&self) -> Option<Millis> {
        (self.slow_ms > 0.0).then(|| Millis(self.slow_ms.ceil() as u64))
    }

    /// Calls that this instance has in flight on an endpoint.
    pub fn calls_in_flight(&self, endpoint: &EndpointName) -> u32 {
        self.find(endpoint).map_or(0, |i| self.lanes[i].calls)
    }

    /// Connections that this instance may hold to an endpoint, idle ones included.
    pub fn connection_limit(&self, endpoint: &EndpointName) -> u32 {
        self.find(endpoint)
            .map_or(0, |i| self.lanes[i].connections(self.instances))
    }

    fn find(&self, endpoint: &EndpointName) -> Result<usize, usize> {
        self.lanes.binary_search_by(|lane| lane.backend.name.cmp(endpoint))
    }

    fn load(&self, now: Millis, i: usize) -> f64 {
        self.lanes[i].load(now, self.fleet_ms)
    }

    fn usable(&self, now: Millis, avoid: &[EndpointName], other: Option<usize>, i: usize) -> bool {
        let lane = &self.lanes[i];
        Some(i) != other && lane.has_room(now, self.instances) && !avoid.contains(&lane.backend.name)
    }

    /// Draws a usable endpoint with a chance proportional to its speed.
    fn draw(&mut self, now: Millis, avoid: &[EndpointName], other: Option<usize>) -> Option<usize> {
        if self.lanes.is_empty() {
            return None;
        }
        for _ in 0..DRAWS {
            let i = self.rng.random_range(0..self.lanes.len());
            let weight = self.lanes[i].speed(self.fleet_ms) / SPEED_MAX;
            if self.rng.random::<f64>() < weight && self.usable(now, avoid, other, i) {
                return Some(i);
            }
        }
        let offset = self.rng.random_range(0..self.lanes.len());
        for step in 0..self.lanes.len() {
            let i = (offset + step) % self.lanes.len();
            if self.usable(now, avoid, other, i) {
                return Some(i);
            }
        }
        None
    }
}
