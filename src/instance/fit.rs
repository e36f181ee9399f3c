//! Check of a ticket's guarantees against the capacity of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::accept::pool_contains;
use crate::membership::Membership;
use crate::plan::{EndpointSpec, fit_guarantees};
use crate::team::Catalog;
use crate::ticket::CapacityCheck;

/// Checks guarantees against the open endpoints in the list.
#[derive(Debug)]
pub struct FleetFit(pub Arc<Membership>);

impl CapacityCheck for FleetFit {
    fn check(&self, catalog: &Catalog) -> Result<(), String> {
        let known = self.0.endpoints();
        for (name, pool) in &catalog.pools {
            let mut specs = BTreeMap::new();
            for endpoint in known.values() {
                if !endpoint.is_open() || !pool_contains(pool, &endpoint.listed) {
                    continue;
                }
                let spec = EndpointSpec::from(&endpoint.listed);
                specs.insert(spec.name.clone(), spec);
            }
            fit_guarantees(&specs, name, &catalog.teams).map_err(|shortfall| shortfall.to_string())?;
        }
        Ok(())
    }
}
