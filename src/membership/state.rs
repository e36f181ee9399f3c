//! Knowledge of instances and endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;

use super::{
    KnownEndpoint, LIST_INTERVAL, MembershipError, SESSION_SCAN_INTERVAL, STALE_SESSION_RETENTION, UNLISTED_GRACE,
    owner_of,
};
use crate::name::{EndpointName, InstanceName, PoolName};
use crate::platform::{Check, Listed, Listing, Presence, Put, Row, Step, Table, TableError, Txn, Version};
use crate::row::{OpIds, PoolRow, SessionRow, key, scan_all};
use crate::session::{CLOCK_DRIFT_MARGIN, LEASE_DURATION, RunGuard};
use crate::time::Millis;

#[derive(Debug, Clone)]
struct ObservedSession {
    row: SessionRow,
    version: Version,
    /// When the version was known to be there; `None` until the step after the one that read it.
    seen_at: Option<Millis>,
}

impl ObservedSession {
    fn has_lapsed(&self, now: Millis) -> bool {
        self.seen_at
            .is_some_and(|seen| now.since(seen) >= LEASE_DURATION + CLOCK_DRIFT_MARGIN)
    }
}

#[derive(Debug, Default)]
struct State {
    sessions: BTreeMap<InstanceName, ObservedSession>,
    /// When the session rows were last read.
    scanned_at: Option<Millis>,
    endpoints: Arc<BTreeMap<EndpointName, KnownEndpoint>>,
    /// Instances that the list shows as leaving.
    leaving: BTreeSet<InstanceName>,
    sessions_due: Millis,
    list_due: Millis,
}

/// What is known of instances and endpoints. Only one thread steps it; all may ask.
#[derive(Debug)]
pub struct Membership {
    table: Arc<dyn Table>,
    listing: Arc<dyn Listing>,
    state: Mutex<State>,
    list_running: AtomicBool,
    sessions_running: AtomicBool,
}

impl Membership {
    /// Nothing is known yet.
    pub fn new(table: Arc<dyn Table>, listing: Arc<dyn Listing>) -> Self {
        Self {
            table,
            listing,
            state: Mutex::default(),
            list_running: AtomicBool::new(false),
            sessions_running: AtomicBool::new(false),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads what is due. A failure of the one source does not keep it from reading the other.
    pub fn step(&self, now: Millis) -> Result<(), MembershipError> {
        let list = self.step_list(now);
        self.step_sessions(now)?;
        list
    }

    /// Reads the list if that is due. A thread of its own for this keeps a slow list from delaying takeovers.
    pub fn step_list(&self, now: Millis) -> Result<(), MembershipError> {
        let Some(_guard) = RunGuard::try_acquire(&self.list_running) else {
            return Ok(());
        };
        if now < self.state().list_due {
            return Ok(());
        }
        self.state().list_due = now + LIST_INTERVAL;
        let listed = self.listing.list()?;
        self.update_list(now, listed);
        Ok(())
    }

    /// Reads the session rows if that is due.
    pub fn step_sessions(&self, now: Millis) -> Result<(), MembershipError> {
        let Some(_guard) = RunGuard::try_acquire(&self.sessions_running) else {
            return Ok(());
        };
        if !self.mark_seen(now) {
            return Ok(());
        }
        let rows = scan_all(&*self.table, key::SESSIONS, None)?;
        self.update_sessions(now, &rows);
        Ok(())
    }

    /// What earlier steps read was there by now; whether the rows are to be read again.
    fn mark_seen(&self, now: Millis) -> bool {
        let mut state = self.state();
        for observed in state.sessions.values_mut() {
            observed.seen_at.get_or_insert(now);
        }
        if now < state.sessions_due {
            return false;
        }
        state.sessions_due = now + SESSION_SCAN_INTERVAL;
        true
    }

    fn update_sessions(&self, now: Millis, rows: &[Row]) {
        let mut state = self.state();
        let mut sessions = BTreeMap::new();
        for row in rows {
            let name = row.key.strip_prefix(key::SESSIONS).unwrap_or_default();
            let Ok(name) = InstanceName::new(name) else { continue };
            let Ok(content) = SessionRow::deserialize(&row.value) else {
                continue;
            };
            let known = state.sessions.get(&name).filter(|known| known.version == row.version);
            let observed = ObservedSession {
                row: content,
                version: row.version,
                seen_at: known.and_then(|known| known.seen_at),
            };
            sessions.insert(name, observed);
        }
        state.sessions = sessions;
        state.scanned_at = Some(now);
    }

    fn update_list(&self, now: Millis, listed: Listed) {
        let mut state = self.state();
        let mut endpoints = BTreeMap::new();
        for (name, known) in state.endpoints.iter() {
            let missing = known.missing.unwrap_or(now);
            if now.since(missing) < UNLISTED_GRACE {
                let kept = KnownEndpoint {
                    listed: known.listed.clone(),
                    missing: Some(missing),
                };
                endpoints.insert(name.clone(), kept);
            }
        }
        for listed in listed.endpoints {
            let known = KnownEndpoint { listed, missing: None };
            endpoints.insert(known.listed.name.clone(), known);
        }
        state.endpoints = Arc::new(endpoints);
        state.leaving = listed
            .instances
            .into_iter()
            .filter(|instance| instance.presence == Presence::Leaving)
            .map(|instance| instance.name)
            .collect();
    }

    /// Endpoints that are listed, or were within the grace.
    pub fn endpoints(&self) -> Arc<BTreeMap<EndpointName, KnownEndpoint>> {
        Arc::clone(&self.state().endpoints)
    }

    /// Session rows as last read.
    pub fn sessions(&self) -> BTreeMap<InstanceName, SessionRow> {
        let state = self.state();
        let rows = state.sessions.iter();
        rows.map(|(name, observed)| (name.clone(), observed.row.clone()))
            .collect()
    }

    /// Instances whose session has not lapsed, draining ones among them.
    pub fn live(&self, now: Millis) -> Vec<InstanceName> {
        let state = self.state();
        let live = state.sessions.iter().filter(|(_, observed)| !observed.has_lapsed(now));
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Instances whose session had not lapsed when the rows were last read; during an outage, the last known members.
    pub fn last_known(&self) -> Vec<InstanceName> {
        let state = self.state();
        let Some(scanned_at) = state.scanned_at else {
            return Vec::new();
        };
        let members = state
            .sessions
            .iter()
            .filter(|(_, observed)| !observed.has_lapsed(scanned_at));
        members.map(|(name, _)| name.clone()).collect()
    }

    /// Live instances that may take pools: neither draining nor listed as leaving.
    pub fn eligible_holders(&self, now: Millis) -> Vec<InstanceName> {
        let state = self.state();
        let mut eligible = Vec::new();
        for (name, observed) in &state.sessions {
            if observed.has_lapsed(now) || observed.row.draining || state.leaving.contains(name) {
                continue;
            }
            eligible.push(name.clone());
        }
        eligible
    }

    /// The instance that should hold a pool.
    pub fn owner(&self, now: Millis, pool: &PoolName) -> Option<InstanceName> {
        owner_of(pool.as_str(), &self.eligible_holders(now))
    }

    /// If the session of an instance has lapsed or is gone, the condition that it has not come back.
    pub fn lapse_check(&self, now: Millis, instance: &InstanceName) -> Option<Check> {
        let state = self.state();
        let version = match state.sessions.get(instance) {
            Some(observed) if observed.has_lapsed(now) => observed.version,
            None if state.scanned_at.is_some() => 0,
            _ => return None,
        };
        Some(Check {
            key: key::session(instance),
            version,
        })
    }

    /// Removes rows of sessions that lapsed long ago, so that instances with ever new names do not fill the table. The
    /// pools that such an instance held were taken over long before.
    pub fn sweep(&self, now: Millis, me: &InstanceName, ops: &OpIds) -> Result<(), TableError> {
        let mut checks = Vec::new();
        for (name, observed) in &self.state().sessions {
            if name != me
                && observed
                    .seen_at
                    .is_some_and(|seen| now.since(seen) >= STALE_SESSION_RETENTION)
            {
                checks.push(Check {
                    key: key::session(name),
                    version: observed.version,
                });
            }
        }
        for check in checks {
            let puts = vec![Put {
                key: check.key.clone(),
                value: None,
            }];
            let txn = Txn {
                step: Step::Leave,
                op: ops.next(),
                checks: vec![check],
                puts,
            };
            match self.table.commit(&txn) {
                Ok(_) | Err(TableError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether the session row of an instance has kept exactly this version until it lapsed.
    pub fn has_lapsed_at(&self, now: Millis, instance: &InstanceName, version: Version) -> bool {
        let state = self.state();
        let observed = state.sessions.get(instance);
        observed.is_some_and(|observed| observed.version == version && observed.has_lapsed(now))
    }

    /// If the holder of a pool has lost it, the condition for a takeover, to be checked together with the pool row's
    /// version. The holder has lost it when its session has lapsed, is gone, or belongs to another boot.
    pub fn takeover_check(&self, now: Millis, pool: &PoolRow) -> Option<Check> {
        let state = self.state();
        let rebooted = state
            .sessions
            .get(&pool.holder)
            .filter(|session| session.row.boot != pool.boot);
        if let Some(observed) = rebooted {
            return Some(Check {
                key: key::session(&pool.holder),
                version: observed.version,
            });
        }
        drop(state);
        self.lapse_check(now, &pool.holder)
    }
}
