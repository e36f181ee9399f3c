//! Endpoints whose address another incarnation has.
//!
//! An endpoint refuses orders that name another one, and two processes cannot have one address. So if the address in the
//! entry of an endpoint refuses an order for it in this way, the process of that endpoint has ended, and its runs and
//! unread ends with it. Starts for it that are still on their way go to that address and are refused there.

use std::sync::Arc;

use super::{Dispatcher, Endpoint};

impl Dispatcher {
    /// Applies an answer from `address` that another incarnation than the named endpoint has it: the leases on that
    /// endpoint are over.
    pub fn address_taken(&mut self, name: &Arc<str>, address: &str, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        if !endpoint.has_address(address) {
            return;
        }
        endpoint.process_ended(now);
        let runs: Vec<_> = endpoint.runs.values().cloned().collect();
        self.changed = true;
        if runs.is_empty() {
            return;
        }
        log::warn!(endpoint:% = name, address, runs = runs.len(); "another incarnation has the address of the endpoint; its leases are over");
        for run in runs {
            self.member_gone(&run.job, run.unit, run.member, "its address is taken", now);
        }
    }
}

impl Endpoint {
    /// Whether its present incarnation is known to have this address.
    fn has_address(&self, address: &str) -> bool {
        *self.entry.address == *address && self.entry_born == self.entry.born
    }

    /// Notes that its process has ended. Its entry may be listed for some time, so it gets no work before it reports
    /// again.
    fn process_ended(&mut self, now: u64) {
        self.leases_end_at = self.leases_end_at.min(now);
        self.renewal_ends_at = 0;
        self.unexpected_runs = 0;
        self.reported = false;
    }
}
