//! Local copy of the configuration and its age.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::evacuation::Evacuations;
use crate::metric::InstanceMetrics;
use crate::net::SteadyClock;
use crate::port::SiteConfig;
use crate::refusal::Reach;

/// Newest configuration that the instance has read, and its age.
#[derive(Debug)]
pub struct ConfigView {
    config: RefCell<Option<Arc<SiteConfig>>>,
    evacuations: RefCell<Rc<Evacuations>>,
    /// Time at which the configuration was last known to be current, in milliseconds of the steady clock.
    confirmed_at: Cell<Option<u64>>,
    /// Smallest observed difference between the local clock and that of the store, in milliseconds.
    clock_offset: Cell<Option<i64>>,
    /// Age above which the configuration is stale, in milliseconds.
    stale_after_ms: u64,
    /// Whether the last call to the store failed.
    failing: Cell<bool>,
    /// Lowest version by which callers may be answered, since another instance has answered them by it.
    version_min: Cell<u64>,
    clock: SteadyClock,
    changed: Notify,
}

impl ConfigView {
    /// Creates a view without a configuration. A configuration older than `stale_after_ms` by `clock` is stale.
    pub fn new(stale_after_ms: u64, clock: SteadyClock) -> Self {
        Self {
            config: RefCell::default(),
            evacuations: RefCell::default(),
            confirmed_at: Cell::default(),
            clock_offset: Cell::default(),
            stale_after_ms,
            failing: Cell::default(),
            version_min: Cell::default(),
            clock,
            changed: Notify::new(),
        }
    }

    /// The newest configuration that was read.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.borrow().clone()
    }

    /// The newest configuration, if it is fresh.
    pub fn fresh_config(&self) -> Option<Arc<SiteConfig>> {
        self.is_fresh().then(|| self.config()).flatten()
    }

    /// The failure domains that are closed, as of the last confirmation.
    pub fn evacuations(&self) -> Rc<Evacuations> {
        Rc::clone(&self.evacuations.borrow())
    }

    /// Replaces the closed failure domains by those that were read; [`confirm`](Self::confirm) has to follow.
    pub fn close_domains(&self, mut read: Evacuations) {
        let known = self.evacuations();
        for domain in read.domains().difference(known.domains()) {
            log::info!(domain:%; "failure domain is closed");
        }
        for domain in known.domains().difference(read.domains()) {
            log::info!(domain:%; "failure domain is open again");
        }
        read.known_at = known.known_at;
        *self.evacuations.borrow_mut() = Rc::new(read);
    }

    /// Time since the last confirmation, in milliseconds.
    pub fn age_ms(&self) -> Option<u64> {
        Some(self.clock.now().saturating_sub(self.confirmed_at.get()?))
    }

    /// Whether the last confirmation is recent enough.
    pub fn is_fresh(&self) -> bool {
        let version = self.config.borrow().as_ref().map_or(0, |config| config.version);
        version >= self.version_min.get() && self.age_ms().is_some_and(|age| age <= self.stale_after_ms)
    }

    /// How well the instance reaches the store.
    pub fn reach(&self) -> Reach {
        match (self.is_fresh(), self.failing.get()) {
            (false, _) => Reach::Stale,
            (true, true) => Reach::Lost,
            (true, false) => Reach::Good,
        }
    }

    /// Records that a call to the store failed.
    pub fn lose(&self) {
        self.failing.set(true);
    }

    /// Lowest version by which a caller of this instance may be answered.
    pub fn version_min(&self) -> u64 {
        let version = self.config.borrow().as_ref().map_or(0, |config| config.version);
        version.max(self.version_min.get())
    }

    /// Records that a caller of this instance was answered by `version`: an older one must not be used from now on.
    pub fn require(&self, version: u64) {
        self.version_min.set(self.version_min.get().max(version));
    }

    /// Time on the clock of the view, in milliseconds.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// Sets the metrics of the configuration and the closed failure domains.
    pub fn update_metrics(&self, metrics: &InstanceMetrics) {
        // -1 means that the store has not confirmed a configuration yet.
        let age = self.age_ms().map_or(-1, u64::cast_signed);
        metrics.config_age_ms.set(age);
        let version = self.config().map_or(0, |config| config.version);
        metrics.config_version.set(version.cast_signed());
        let closed = self.evacuations.borrow().domains().len();
        metrics.domains_closed.set(closed.cast_signed() as i64);
    }

    /// Replaces the configuration unless `config` has the same or an older version.
    pub fn update(&self, config: SiteConfig) {
        let mut current = self.config.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= config.version)
        {
            return;
        }
        let (version, queues, teams) = (config.version, config.queues.len(), config.teams.len());
        log::info!(version, queues, teams; "configuration took effect");
        *current = Some(Arc::new(config));
        drop(current);
        self.changed.notify_waiters();
    }

    /// Records that the store returned all changes up to `clock_ms` on its clock.
    pub fn confirm(&self, clock_ms: u64) {
        self.failing.set(false);
        let now = self.clock.now();
        let clock_offset = now.cast_signed() - clock_ms.cast_signed();
        let min_offset = self
            .clock_offset
            .get()
            .map_or(clock_offset, |previous| previous.min(clock_offset));
        self.clock_offset.set(Some(min_offset));
        let confirmed_now = clock_ms.saturating_add_signed(min_offset);
        let latest = self
            .confirmed_at
            .get()
            .map_or(confirmed_now, |previous| previous.max(confirmed_now));
        self.confirmed_at.set(Some(latest.min(now)));
        Rc::make_mut(&mut self.evacuations.borrow_mut()).known_at = self.confirmed_at.get();
    }
}
