//! Tracks instances and endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;

use super::{
    KnownEndpoint, LIST_INTERVAL, MembershipError, SESSION_SCAN_INTERVAL, STALE_SESSION_RETENTION, UNLISTED_GRACE,
    owner_of,
};
use crate::name::{EndpointName, InstanceName, PoolName};
use crate::platform::{Check, Listing, MachineList, Presence, Put, Row, Step, Table, TableError, Txn, Version};
use crate::row::{OpIds, PoolRow, SessionRow, key, scan_all};
use crate::session::{CLOCK_DRIFT_MARGIN, LEASE_DURATION, RunGuard};
use crate::time::Millis;

#[derive(Debug, Clone)]
struct ObservedSession {
    row: SessionRow,
    version: Version,
    /// Time from which the version is known to exist; `None` until the step after the one that read it.
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
    /// Time of the last read of the session rows.
    scanned_at: Option<Millis>,
    endpoints: Arc<BTreeMap<EndpointName, KnownEndpoint>>,
    /// Instances that the list shows as leaving.
    leaving: BTreeSet<InstanceName>,
    sessions_due: Millis,
    list_due: Millis,
}

/// The known instances and endpoints. One thread at a time runs each kind of step; all threads may query.
#[derive(Debug)]
pub struct Membership {
    table: Arc<dyn Table>,
    listing: Arc<dyn Listing>,
    state: Mutex<State>,
    list_running: AtomicBool,
    sessions_running: AtomicBool,
}

impl Membership {
    /// Starts with no known instances or endpoints.
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

    /// Reads the list and the session rows as they are due. A failure of one does not prevent reading the other.
    pub fn step(&self, now: Millis) -> Result<(), MembershipError> {
        let list = self.step_list(now);
        self.step_sessions(now)?;
        list
    }

    /// Reads the list if a read is due. May run on a thread of its own, so that a slow list does not delay takeovers.
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

    /// Reads the session rows if a read is due.
    pub fn step_sessions(&self, now: Millis) -> Result<(), MembershipError> {
        let Some(_guard) = RunGuard::try_acquire(&self.sessions_running) else {
            return Ok(());
        };
        if !self.mark_seen(now) {
            return Ok(());
        }
        let rows = scan_all(&*self.table, key::SESSION_PREFIX, None)?;
        self.update_sessions(now, &rows);
        Ok(())
    }

    /// Marks the versions that earlier steps read as seen by `now`. Returns whether a read of the rows is due.
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
            let name = row.key.strip_prefix(key::SESSION_PREFIX).unwrap_or_default();
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

    fn update_list(&self, now: Millis, listed: MachineList) {
        let mut state = self.state();
        let mut endpoints = BTreeMap::new();
        for (name, known) in state.endpoints.iter() {
            let missing_since = known.missing_since.unwrap_or(now);
            if now.since(missing_since) < UNLISTED_GRACE {
                let kept = KnownEndpoint {
                    listed: known.listed.clone(),
                    missing_since: Some(missing_since),
                };
                endpoints.insert(name.clone(), kept);
            }
        }
        for listed in listed.endpoints {
            let known = KnownEndpoint {
                listed,
                missing_since: None,
            };
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

    /// Endpoints that are listed, or were within [`UNLISTED_GRACE`].
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

    /// Instances whose session has not lapsed, including draining ones.
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

    /// Live instances that may hold pools: neither draining nor listed as leaving.
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

    /// Check for a transaction that the lapsed or removed session of an instance has not been renewed; `None` if the
    /// session has not lapsed, as far as is known.
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

    /// Removes rows of sessions that lapsed long ago, so that instances that always start with new names do not fill
    /// the table. The pools that such an instance held were taken over long before.
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

    /// Whether the session of an instance has lapsed with its row at exactly this version.
    pub fn has_lapsed_at(&self, now: Millis, instance: &InstanceName, version: Version) -> bool {
        let state = self.state();
        let observed = state.sessions.get(instance);
        observed.is_some_and(|observed| observed.version == version && observed.has_lapsed(now))
    }

    /// Check for a transaction that takes over a pool, to be used together with a check of the pool row's version;
    /// `None` if the holder has not lost the pool. The holder has lost it when its session has lapsed, was removed, or
    /// belongs to another boot.
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
