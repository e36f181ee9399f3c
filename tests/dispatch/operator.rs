//! Fixture: an operator who closes and opens failure domains at random, and what the leader has read of it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::evacuation::Evacuations;

use crate::world::name;

/// Age from which the knowledge of the leader is stale, in milliseconds.
pub const STALE_MS: u64 = 1_400;

/// Probability that a domain is closed or opened in a turn.
const TOGGLE_RATE: f64 = 0.01;

/// Probability that the leader cannot read the requests from a turn on.
const OUTAGE_RATE: f64 = 0.004;

/// Domains of the fleet.
const DOMAINS: [&str; 3] = ["r0", "r1", "r2"];

/// Requests of the operator, drawn from a random source of their own.
pub struct Operator {
    random: SmallRng,
    /// Since when each closed domain is closed.
    closed: BTreeMap<Arc<str>, u64>,
    /// What the leader has read.
    pub known: Evacuations,
    /// The leader reads nothing before this time.
    unread_until: u64,
    /// Number of starts that were held back for their domain.
    pub held_back: u64,
}

impl Operator {
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            closed: BTreeMap::new(),
            known: Evacuations::default(),
            unread_until: 0,
            held_back: 0,
        }
    }

    /// Closes or opens a domain, or keeps the leader from reading it, each with some probability.
    pub fn act(&mut self, now: u64) {
        if self.random.random_bool(TOGGLE_RATE) {
            let domain = name(DOMAINS[self.random.random_range(0..DOMAINS.len())]);
            if self.closed.remove(&domain).is_none() {
                self.closed.insert(domain, now);
            }
        }
        if self.random.random_bool(OUTAGE_RATE) {
            self.unread_until = now + self.random.random_range(500..5_000);
        }
    }

    /// Takes all requests back and lets the leader read.
    pub fn finish(&mut self) {
        self.closed.clear();
        self.unread_until = 0;
    }

    /// Forgets what the former leader has read.
    pub fn replace_leader(&mut self) {
        self.known = Evacuations::default();
    }

    /// Lets the leader read the requests if it can.
    pub fn read(&mut self, now: u64) -> Rc<Evacuations> {
        if now >= self.unread_until {
            self.known = Evacuations::default();
            for domain in self.closed.keys() {
                self.known.close(Arc::clone(domain));
            }
            self.known.known_at = Some(now);
        }
        Rc::new(self.known.clone())
    }

    /// Why a start that is sent to a domain must not be.
    pub fn violation(&self, domain: &str, now: u64) -> Option<&'static str> {
        if self.known.closes(domain) {
            return Some("known to be closed");
        }
        let since = self.closed.get(domain)?;
        (now - since > STALE_MS).then_some("closed for longer than knowledge may be old")
    }

    /// Notes a start that was not sent.
    pub fn note_held_back(&mut self, domain: &str) {
        self.held_back += u64::from(self.closed.contains_key(domain));
    }
}
