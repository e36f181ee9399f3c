//! The configuration as this instance knows it.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::Notify;

use crate::net::SteadyClock;
use crate::port::SiteConfig;

/// The configuration and its age.
#[derive(Debug)]
pub struct ConfigView {
    config: RefCell<Option<Arc<SiteConfig>>>,
    /// When the store last confirmed it, in milliseconds of the steady clock.
    confirmed: Cell<Option<u64>>,
    /// Smallest difference seen between our clock and that of the store.
    offset: Cell<Option<i64>>,
    /// Age from which the configuration is stale, in milliseconds.
    limit_ms: u64,
    clock: SteadyClock,
    changed: Notify,
}

impl ConfigView {
    /// A view without a configuration; one older than `limit_ms` by `clock` is stale.
    pub fn new(limit_ms: u64, clock: SteadyClock) -> Self {
        Self {
            config: RefCell::default(),
            confirmed: Cell::default(),
            offset: Cell::default(),
            limit_ms,
            clock,
            changed: Notify::new(),
        }
    }

    /// The newest configuration that was read.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.borrow().clone()
    }

    /// The configuration, if it is fresh.
    pub fn fresh_config(&self) -> Option<Arc<SiteConfig>> {
        self.is_fresh().then(|| self.config()).flatten()
    }

    /// Age of the last confirmation, in milliseconds.
    pub fn age_ms(&self) -> Option<u64> {
        Some(self.clock.now().saturating_sub(self.confirmed.get()?))
    }

    /// Whether the store has confirmed the configuration lately.
    pub fn is_fresh(&self) -> bool {
        self.age_ms().is_some_and(|age| age <= self.limit_ms)
    }

    /// Takes a configuration; an older one is ignored.
    pub fn update(&self, config: SiteConfig) {
        let mut held = self.config.borrow_mut();
        if held.as_ref().is_some_and(|held| held.version >= config.version) {
            return;
        }
        let (version, queues, teams) = (config.version, config.queues.len(), config.teams.len());
        log::info!(version, queues, teams; "configuration in force");
        *held = Some(Arc::new(config));
        drop(held);
        self.changed.notify_waiters();
    }

    /// Notes that the store answered at `clock_ms` of its clock with all changes up to then.
    pub fn confirm(&self, clock_ms: u64) {
        let now = self.clock.now();
        let offset = now.cast_signed() - clock_ms.cast_signed();
        let least = self.offset.get().map_or(offset, |known| known.min(offset));
        self.offset.set(Some(least));
        let at = clock_ms.saturating_add_signed(least);
        let newest = self.confirmed.get().map_or(at, |known| known.max(at));
        self.confirmed.set(Some(newest.min(now)));
    }
}
