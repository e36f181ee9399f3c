//! The session of this instance: its lease, its row in the table, and the configuration in force.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;
use serde_json::json;

use super::{
    CLOCK_DRIFT_MARGIN, LEASE_DURATION, RENEW_INTERVAL, RETRY_DELAY, RunGuard, SessionError, VersionedCatalog,
    load_catalog,
};
use crate::name::{DomainName, InstanceName};
use crate::platform::{Address, Check, Put, Step, Table, TableError, Txn, Version};
use crate::row::{OpIds, SessionRow, commit, key};
use crate::team::Catalog;
use crate::time::Millis;

/// Maximum attempts to write the session row within one step; after each conflict, the changed row is read again.
const COMMIT_ATTEMPTS_MAX: usize = 4;

/// Session row of this instance that another boot wrote.
#[derive(Debug, Clone, Copy)]
struct ForeignRow {
    version: Version,
    /// Time from which the version is known to exist; set by the step after the one that read it.
    seen_at: Option<Millis>,
}

#[derive(Debug, Default)]
struct State {
    /// Time just before the last successful renewal was sent.
    renewed_at: Option<Millis>,
    /// Version of the own row; `None` if unknown, 0 if the row is absent.
    version: Option<Version>,
    foreign: Option<ForeignRow>,
    newest: Option<VersionedCatalog>,
    renewals: u64,
    draining: bool,
    released: bool,
    renewal_due: Millis,
}

impl State {
    fn is_live(&self, now: Millis) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) < LEASE_DURATION)
    }
}

/// The session of one boot of an instance.
#[derive(Debug)]
pub struct Session {
    instance: InstanceName,
    boot: String,
    peer: Address,
    domain: DomainName,
    table: Arc<dyn Table>,
    ops: Arc<OpIds>,
    state: Mutex<State>,
    refreshing: AtomicBool,
}

impl Session {
    /// Creates a session without a lease; the first step writes its row.
    pub fn new(
        instance: InstanceName,
        boot: String,
        peer: Address,
        domain: DomainName,
        table: Arc<dyn Table>,
        ops: Arc<OpIds>,
    ) -> Self {
        Self {
            instance,
            boot,
            peer,
            domain,
            table,
            ops,
            state: Mutex::default(),
            refreshing: AtomicBool::new(false),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Name of the instance.
    pub fn instance(&self) -> &InstanceName {
        &self.instance
    }

    /// Identifier of this boot, which differs between two starts of the instance.
    pub fn boot(&self) -> &str {
        &self.boot
    }

    /// Whether the lease is valid at `now`.
    pub fn is_live(&self, now: Millis) -> bool {
        self.state().is_live(now)
    }

    /// Time at which the lease ends or ended; `None` if it was never held or the session was lost or released.
    pub fn lease_end(&self) -> Option<Millis> {
        self.state().renewed_at.map(|at| at + LEASE_DURATION)
    }

    /// The configuration in force; `None` without a live session.
    pub fn catalog(&self, now: Millis) -> Option<Arc<Catalog>> {
        self.versioned_catalog(now).map(|newest| newest.catalog)
    }

    /// The configuration in force, with the version of its head; `None` without a live session.
    pub fn versioned_catalog(&self, now: Millis) -> Option<VersionedCatalog> {
        let state = self.state();
        if !state.is_live(now) {
            return None;
        }
        state.newest.clone()
    }

    /// The last configuration that was read, whether or not the session is live; empty before the first read.
    pub fn cached_catalog(&self) -> Arc<Catalog> {
        self.state()
            .newest
            .as_ref()
            .map(|newest| Arc::clone(&newest.catalog))
            .unwrap_or_default()
    }

    /// Version of the own row; 0 if the row is absent or its version is unknown.
    pub fn version(&self) -> Version {
        self.state().version.unwrap_or(0)
    }

    /// Whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Marks the session as draining, so that the instance is assigned no pools. The next step is due at once and
    /// writes the flag to the table.
    pub fn set_draining(&self) {
        let mut state = self.state();
        state.draining = true;
        state.renewal_due = Millis::ZERO;
    }

    /// Renews the session if a renewal is due.
    pub fn step(&self, now: Millis) -> Result<(), SessionError> {
        if now < self.state().renewal_due {
            return Ok(());
        }
        self.refresh(now)
    }

    /// Renews the session now. Does nothing if another thread is already renewing it.
    pub fn refresh(&self, now: Millis) -> Result<(), SessionError> {
        let Some(_guard) = RunGuard::try_acquire(&self.refreshing) else {
            return Ok(());
        };
        self.begin_refresh(now)?;
        let result = self.renew_with_retries(now);
        self.state().renewal_due = now + if result.is_ok() { RENEW_INTERVAL } else { RETRY_DELAY };
        result
    }

    fn begin_refresh(&self, now: Millis) -> Result<(), SessionError> {
        let mut state = self.state();
        if state.released {
            return Err(SessionError::Released);
        }
        if let Some(foreign) = &mut state.foreign {
            foreign.seen_at.get_or_insert(now);
        }
        Ok(())
    }

    fn renew_with_retries(&self, now: Millis) -> Result<(), SessionError> {
        let mut last = SessionError::Changing;
        for _ in 0..COMMIT_ATTEMPTS_MAX {
            let newest = self.ensure_catalog()?;
            let version = self.ensure_version(now)?;
            if self.state().released {
                return Err(SessionError::Released);
            }
            match self.try_renew(now, &newest, version) {
                Ok(()) => return Ok(()),
                Err(TableError::Conflict { key, .. }) if key == key::TICKET_HEAD => {
                    let newest = load_catalog(&*self.table)?;
                    self.state().newest = Some(newest);
                }
                Err(error @ TableError::Conflict { .. }) => {
                    self.state().version = None;
                    last = error.into();
                }
                // If the row was written nevertheless, the next renewal conflicts on its version and reads it again.
                Err(error) => return Err(error.into()),
            }
        }
        Err(last)
    }

    fn ensure_catalog(&self) -> Result<VersionedCatalog, SessionError> {
        if let Some(newest) = &self.state().newest {
            return Ok(newest.clone());
        }
        let newest = load_catalog(&*self.table)?;
        self.state().newest = Some(newest.clone());
        Ok(newest)
    }

    /// Reads the own row unless its version is known. Takes over the row of another boot once that has lapsed.
    fn ensure_version(&self, now: Millis) -> Result<Version, SessionError> {
        if let Some(version) = self.state().version {
            return Ok(version);
        }
        let row = self
            .table
            .read(&[key::session(&self.instance)])?
            .into_iter()
            .next()
            .flatten();
        let mut state = self.state();
        let Some(row) = row else {
            state.version = Some(0);
            return Ok(0);
        };
        let ours = SessionRow::deserialize(&row.value).is_ok_and(|content| content.boot == self.boot);
        if !ours {
            state.renewed_at = None;
            let watched = state.foreign.filter(|foreign| foreign.version == row.version);
            let lapsed = watched
                .and_then(|foreign| foreign.seen_at)
                .is_some_and(|seen| now.since(seen) >= LEASE_DURATION + CLOCK_DRIFT_MARGIN);
            if !lapsed {
                state.foreign = watched.or(Some(ForeignRow {
                    version: row.version,
                    seen_at: None,
                }));
                return Err(SessionError::Taken(self.instance.clone()));
            }
        }
        state.foreign = None;
        state.version = Some(row.version);
        Ok(row.version)
    }

    fn try_renew(&self, now: Millis, newest: &VersionedCatalog, version: Version) -> Result<(), TableError> {
        let row = {
            let mut state = self.state();
            state.renewals += 1;
            SessionRow {
                boot: self.boot.clone(),
                peer: self.peer,
                domain: self.domain.clone(),
                ticket: newest.catalog.number,
                renewals: state.renewals,
                draining: state.draining,
            }
        };
        let txn = self.txn(Step::Renew, version, Some(json!(row)), Some(newest.check()));
        let version = commit(&*self.table, &txn)?;
        let mut state = self.state();
        state.version = Some(version);
        if !state.released {
            state.renewed_at = Some(now);
        }
        Ok(())
    }

    fn txn(&self, step: Step, version: Version, value: Option<serde_json::Value>, head: Option<Check>) -> Txn {
        let key = key::session(&self.instance);
        let mut checks = vec![Check {
            key: key.clone(),
            version,
        }];
        checks.extend(head);
        Txn {
            step,
            op: self.ops.next(),
            checks,
            puts: vec![Put { key, value }],
        }
    }

    fn set_released(&self) {
        let mut state = self.state();
        state.released = true;
        state.renewed_at = None;
    }

    /// Releases the session for good and removes its row, so that other instances need not wait until it lapses. May
    /// be repeated after an error.
    pub fn leave(&self, now: Millis) -> Result<(), SessionError> {
        self.set_released();
        let mut last = SessionError::Changing;
        for _ in 0..COMMIT_ATTEMPTS_MAX {
            let version = match self.ensure_version(now) {
                Ok(0) | Err(SessionError::Taken(_)) => return Ok(()),
                Ok(version) => version,
                Err(error) => return Err(error),
            };
            self.state().version = None;
            match self.table.commit(&self.txn(Step::Leave, version, None, None)) {
                Ok(_) => {
                    self.state().version = Some(0);
                    return Ok(());
                }
                Err(error) => last = error.into(),
            }
        }
        Err(last)
    }
}
