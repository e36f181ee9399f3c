//! Validation of a ticket against the catalog that it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use super::{InvalidTicket, Ticket};
use crate::job::ACCELERATORS_MAX;
use crate::name::{PoolName, TeamName};
use crate::team::{Catalog, Guarantee, Level, Pool, Team};

/// Maximum quota of a team, in accelerators.
const QUOTA_ACCELERATORS_MAX: u32 = 1_000_000;
/// Maximum weight of a team.
const WEIGHT_MAX: u16 = 1000;
/// Maximum number of guarantees of one team.
const GUARANTEES_PER_TEAM_MAX: usize = 64;
/// Maximum number of sets in one guarantee.
const SETS_PER_GUARANTEE_MAX: u16 = 10_000;
/// Maximum number of accelerators in a set within a rack: 64 endpoints of the largest size.
const ACCELERATORS_PER_RACK_SET_MAX: u16 = 64 * ACCELERATORS_MAX;
/// Maximum length of a kind's description, in bytes.
const ABOUT_BYTES_MAX: usize = 1000;

fn invalid<T>(reason: String) -> Result<T, InvalidTicket> {
    Err(InvalidTicket::Object(reason))
}

fn check_range<N>(owner: &str, field: &str, value: N, min: N, max: N) -> Result<(), InvalidTicket>
where
    N: PartialOrd + Display + Copy,
{
    if value < min || value > max {
        return invalid(format!(
            "{owner}: `{field}` is {value}, but it must be from {min} to {max}."
        ));
    }
    Ok(())
}

fn apply_changes<K, V>(
    type_name: &str,
    objects: &mut BTreeMap<K, V>,
    changes: &BTreeMap<K, Option<V>>,
) -> Result<(), InvalidTicket>
where
    K: Ord + Clone + Display,
    V: Clone,
{
    for (name, change) in changes {
        if let Some(object) = change {
            objects.insert(name.clone(), object.clone());
        } else if objects.remove(name).is_none() {
            return invalid(format!(
                "The ticket removes the {type_name} `{name}`, but there is no {type_name} of this name."
            ));
        }
    }
    Ok(())
}

impl Ticket {
    /// Applies the ticket to `catalog` and validates the whole result.
    pub fn apply(&self, catalog: &Catalog, number: u64) -> Result<Catalog, InvalidTicket> {
        if self.is_empty() {
            return invalid("The ticket changes nothing. Name at least one team, kind or pool in it.".to_owned());
        }
        let mut next = catalog.clone();
        next.number = number;
        apply_changes("team", &mut next.teams, &self.objects.team)?;
        apply_changes("kind", &mut next.kinds, &self.objects.kind)?;
        apply_changes("pool", &mut next.pools, &self.objects.pool)?;
        for (name, kind) in &next.kinds {
            check_range(
                &format!("Kind `{name}`"),
                "about (length)",
                kind.about.len(),
                0,
                ABOUT_BYTES_MAX,
            )?;
        }
        for (name, team) in &next.teams {
            check_team(name, team, &next)?;
        }
        check_pools(&next)?;
        Ok(next)
    }
}

fn check_team(name: &TeamName, team: &Team, catalog: &Catalog) -> Result<(), InvalidTicket> {
    let owner = format!("Team `{name}`");
    check_range(&owner, "quota", team.quota, 0, QUOTA_ACCELERATORS_MAX)?;
    check_range(&owner, "weight", team.weight, 1, WEIGHT_MAX)?;
    check_range(
        &owner,
        "guarantees (number)",
        team.guarantees.len(),
        0,
        GUARANTEES_PER_TEAM_MAX,
    )?;
    for kind in &team.kinds {
        if !catalog.kinds.contains_key(kind) {
            return invalid(format!(
                "{owner} may run the kind `{kind}`, but there is no such kind after this ticket. Add the kind or \
                 remove it from the team's `kinds`."
            ));
        }
    }
    let mut total = 0;
    let mut seen = BTreeSet::new();
    for guarantee in &team.guarantees {
        check_guarantee(&owner, guarantee, catalog)?;
        total += u64::from(guarantee.accelerators) * u64::from(guarantee.count);
        if !seen.insert((&guarantee.pool, guarantee.level, guarantee.accelerators)) {
            return invalid(format!(
                "{owner} has two guarantees of the same size in pool `{}`. Merge them into one with a higher `count`.",
                guarantee.pool
            ));
        }
    }
    if total > u64::from(team.quota) {
        return invalid(format!(
            "{owner} is guaranteed {total} accelerators, but its `quota` is {}. Raise the quota or reduce the \
             guarantees.",
            team.quota
        ));
    }
    Ok(())
}

fn check_guarantee(owner: &str, guarantee: &Guarantee, catalog: &Catalog) -> Result<(), InvalidTicket> {
    if !catalog.pools.contains_key(&guarantee.pool) {
        return invalid(format!(
            "{owner} has a guarantee in pool `{}`, but there is no such pool after this ticket. Add the pool or remove \
             the guarantee.",
            guarantee.pool
        ));
    }
    let max = match guarantee.level {
        Level::Endpoint => ACCELERATORS_MAX,
        Level::Rack => ACCELERATORS_PER_RACK_SET_MAX,
    };
    let owner = format!("{owner}, guarantee in pool `{}`", guarantee.pool);
    check_range(&owner, "accelerators", guarantee.accelerators, 1, max)?;
    check_range(&owner, "count", guarantee.count, 1, SETS_PER_GUARANTEE_MAX)
}

fn check_pools(catalog: &Catalog) -> Result<(), InvalidTicket> {
    let mut checked: Vec<(&PoolName, &Pool)> = Vec::new();
    for (name, pool) in &catalog.pools {
        if pool.domains.is_empty() {
            return invalid(format!("Pool `{name}` has no domains. Name at least one."));
        }
        for (other, checked_pool) in &checked {
            if overlap(pool, checked_pool) {
                return invalid(format!(
                    "The pools `{other}` and `{name}` overlap: a rack may belong to one pool only. Give them different \
                     domains, or name different racks in each."
                ));
            }
        }
        checked.push((name, pool));
    }
    Ok(())
}

/// Whether a rack could belong to both pools. The domain of a rack is not known here, so racks with the same name count
/// as the same rack.
fn overlap(one: &Pool, other: &Pool) -> bool {
    if one.domains.is_disjoint(&other.domains) {
        return false;
    }
    one.racks.is_empty() || other.racks.is_empty() || !one.racks.is_disjoint(&other.racks)
}
