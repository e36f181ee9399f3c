//! Configuration of the site.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Queue, Team};

/// A pool of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Endpoints reject tasks that exceed their capacity.
    pub checks_capacity: bool,
    /// The machines of the pool are switched off.
    pub standby: bool,
}

/// Limits on the connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest header, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the receipt of a whole header, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for HttpLimits {
    /// Limits until the first configuration arrives; those of the users' example configuration.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// The whole configuration of the site.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SiteConfig {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<Arc<str>, Arc<Queue>>,
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, Pool>,
    /// Teams by name.
    pub teams: BTreeMap<Arc<str>, Team>,
    /// Limits on the connections of callers.
    pub limits: HttpLimits,
}

impl SiteConfig {
    /// Queue on `host` whose prefix is the longest that matches `path`, and the rest of the path.
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Arc<Queue>, &'p str)> {
        let mut best: Option<(&Arc<Queue>, &str)> = None;
        for queue in self.queues.values() {
            if *queue.host != *host {
                continue;
            }
            let Some(rest) = path.strip_prefix(&*queue.prefix) else {
                continue;
            };
            if best.is_some_and(|(found, _)| found.prefix.len() >= queue.prefix.len()) {
                continue;
            }
            best = Some((queue, rest));
        }
        best
    }

    /// Team that the key of a caller belongs to.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.teams
            .values()
            .find(|team| team.keys.iter().any(|known| **known == *key))
    }
}
