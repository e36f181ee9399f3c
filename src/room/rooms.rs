//! Empty endpoints that work leaves to that of higher priorities.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Forecast, Usage};

/// Pool and priority of jobs; a lower number is more urgent.
type Class = (Arc<str>, u32);

/// Forecasts of the classes that have needed endpoints lately.
#[derive(Debug, Default, Clone)]
pub struct Rooms {
    forecasts: BTreeMap<Class, Forecast>,
}

impl Rooms {
    /// Notes what each class needs at `now`; those that are left out need nothing.
    pub fn observe(&mut self, usages: &BTreeMap<Class, Usage>, now: u64) {
        for class in usages.keys() {
            if !self.forecasts.contains_key(class) {
                self.forecasts.insert(class.clone(), Forecast::default());
            }
        }
        for (class, forecast) in &mut self.forecasts {
            forecast.observe(usages.get(class).copied().unwrap_or_default(), now);
        }
        self.forecasts
            .retain(|class, forecast| usages.contains_key(class) || !forecast.is_negligible());
    }

    /// Number of endpoints, of a pool of `pool_size`, that work of a priority leaves empty.
    pub fn kept_empty(&self, pool: &Arc<str>, priority: u32, pool_size: usize) -> u32 {
        let above = (Arc::clone(pool), 0)..(Arc::clone(pool), priority);
        let forecasts = self.forecasts.range(above);
        forecasts.map(|(_, forecast)| forecast.kept_empty(pool_size)).sum()
    }

    /// Forecast of each class.
    pub fn forecasts(&self) -> &BTreeMap<Class, Forecast> {
        &self.forecasts
    }
}
