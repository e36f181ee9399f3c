//! Numbers of endpoints by free accelerators: a bound on how many tasks fit, without a look at each endpoint.

/// Numbers of accelerators that are told apart; endpoints with more count as having any number.
const ACCELERATORS_MAX: usize = 16;

/// Numbers of endpoints by free accelerators.
#[derive(Debug, Clone, Default)]
pub(super) struct FreeCounts {
    endpoints: [u32; ACCELERATORS_MAX + 1],
}

impl FreeCounts {
    /// Adds an endpoint.
    pub fn add(&mut self, accelerators: u64) {
        self.endpoints[class(accelerators)] += 1;
    }

    /// Removes an endpoint that was added with the same number.
    pub fn remove(&mut self, accelerators: u64) {
        self.endpoints[class(accelerators)] -= 1;
    }

    /// Whether `count` tasks with that many accelerators each may fit; `false` is certain.
    pub fn may_fit(&self, accelerators: u64, count: u32) -> bool {
        let need = accelerators as usize;
        let mut tasks = 0;
        for (free, endpoints) in self.endpoints.iter().enumerate().rev() {
            let each = match free.checked_div(need) {
                Some(_) if free == ACCELERATORS_MAX => count as usize,
                Some(each) => each,
                None => count as usize,
            };
            if each == 0 {
                break;
            }
            tasks += each.saturating_mul(*endpoints as usize);
            if tasks >= count as usize {
                return true;
            }
        }
        count == 0
    }
}

fn class(accelerators: u64) -> usize {
    accelerators.min(ACCELERATORS_MAX as u64) as usize
}
