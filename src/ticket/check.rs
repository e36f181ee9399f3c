//! Checks of a ticket against the catalog that it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use super::{InvalidTicket, Ticket};
use crate::job::ACCELERATORS_MAX;
use crate::name::{PoolName, TeamName};
use crate::team::{Catalog, Guarantee, Level, Pool, Team};

/// Most accelerators that a team may hold.
const QUOTA_ACCELERATORS_MAX: u32 = 1_000_000;
/// Greatest weight of a team.
const WEIGHT_MAX: u16 = 1000;
/// Most guarantees of one team.
const GUARANTEES_PER_TEAM_MAX: usize = 64;
/// Most sets in one guarantee.
const SETS_PER_GUARANTEE_MAX: u16 = 10_000;
/// Most accelerators in a set within a rack: 64 endpoints of the largest size.
const ACCELERATORS_PER_RACK_SET_MAX: u16 = 64 * ACCELERATORS_MAX;
/// Longest description of a kind, in bytes.
const ABOUT_BYTES_MAX: usize = 1000;

fn refuse<T>(sentence: String) -> Result<T, InvalidTicket> {
    Err(InvalidTicket::Object(sentence))
}

fn check_range<N>(owner: &str, field: &str, value: N, min: N, max: N) -> Result<(), InvalidTicket>
where
    N: PartialOrd + Display + Copy,
{
    if value < min || value > max {
        return refuse(format!(
            "{owner}: `{field}` is {value}, but it must be from {min} to {max}."
        ));
    }
    Ok(())
}

fn set_or_remove<K, V>(
    sort: &str,
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
            return refuse(format!(
                "The ticket removes the {sort} `{name}`, but there is no {sort} of this name."
            ));
        }
    }
    Ok(())
}

impl Ticket {
    /// The catalog after this ticket, if all of it is in order.
    pub fn apply(&self, catalog: &Catalog, number: u64) -> Result<Catalog, InvalidTicket> {
        if self.is_empty() {
            return refuse("The ticket changes nothing. Name at least one team, kind or pool in it.".to_owned());
        }
        let mut next = catalog.clone();
        next.number = number;
        set_or_remove("team", &mut next.teams, &self.objects.team)?;
        set_or_remove("kind", &mut next.kinds, &self.objects.kind)?;
        set_or_remove("pool", &mut next.pools, &self.objects.pool)?;
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
            return refuse(format!(
                "{owner} may run the kind `{kind}`, but there is no such kind after this ticket. Add the kind or take \
                 it from the team's list."
            ));
        }
    }
    let mut total = 0;
    let mut seen = BTreeSet::new();
    for guarantee in &team.guarantees {
        check_guarantee(&owner, guarantee, catalog)?;
        total += u64::from(guarantee.accelerators) * u64::from(guarantee.count);
        if !seen.insert((&guarantee.pool, guarantee.level, guarantee.accelerators)) {
            return refuse(format!(
                "{owner} has two guarantees of the same size in pool `{}`. Join them into one with a higher `count`.",
                guarantee.pool
            ));
        }
    }
    if total > u64::from(team.quota) {
        return refuse(format!(
            "{owner} is guaranteed {total} accelerators, but its `quota` is {}. Raise the quota or reduce the \
             guarantees.",
            team.quota
        ));
    }
    Ok(())
}

fn check_guarantee(owner: &str, guarantee: &Guarantee, catalog: &Catalog) -> Result<(), InvalidTicket> {
    if !catalog.pools.contains_key(&guarantee.pool) {
        return refuse(format!(
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
    let mut before: Vec<(&PoolName, &Pool)> = Vec::new();
    for (name, pool) in &catalog.pools {
        if pool.domains.is_empty() {
            return refuse(format!("Pool `{name}` has no domains. Name at least one."));
        }
        for (other, known) in &before {
            if overlap(pool, known) {
                return refuse(format!(
                    "The pools `{other}` and `{name}` overlap: a rack may belong to one pool only. Give them different \
                     domains, or name different racks in each."
                ));
            }
        }
        before.push((name, pool));
    }
    Ok(())
}

/// Whether a rack may belong to both. A rack's domain is not known here, so equal rack names count as the same rack.
fn overlap(one: &Pool, other: &Pool) -> bool {
    if one.domains.is_disjoint(&other.domains) {
        return false;
    }
    one.racks.is_empty() || other.racks.is_empty() || !one.racks.is_disjoint(&other.racks)
}
