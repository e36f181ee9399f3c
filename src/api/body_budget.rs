//! Budget of bytes that the bodies of all requests may hold together.
//!
//! Bytes are reserved as they arrive. The buffers belong to the budget and not to the threads that read them, so that
//! the memory of a body is free as soon as the body is evicted, while its thread may still be blocked in a read.

use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::BodyLease;

/// Largest body that may use the reserve.
const SMALL_BODY_BYTES: u64 = 16 * 1024;
/// Share of the budget that is reserved for small bodies.
const RESERVE_DIVISOR: u64 = 8;
/// Time that a body always has to arrive; after it, the body can be evicted.
const EVICTION_AGE: Duration = Duration::from_secs(2);

/// Reason why a body cannot be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The budget is used up.
    Full,
    /// The body gave way to others.
    Evicted,
}

#[derive(Debug)]
struct Body {
    bytes: Vec<u8>,
    /// Reserved bytes; they stay reserved when the buffer has been passed on.
    size: u64,
    opened_at: Instant,
    complete: bool,
}

#[derive(Debug, Default)]
struct State {
    held: u64,
    bodies: BTreeMap<u64, Body>,
}

impl State {
    fn remove(&mut self, id: u64) -> Option<Body> {
        let body = self.bodies.remove(&id)?;
        self.held -= body.size;
        Some(body)
    }
}

/// Limits the bytes held by bodies and decides which body gives way.
#[derive(Debug)]
pub struct BodyBudget {
    state: Mutex<State>,
    max: u64,
}

impl BodyBudget {
    /// Creates a budget of `max` bytes.
    pub fn new(max: u64) -> Self {
        Self {
            state: Mutex::default(),
            max,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is complete before anything in it can panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of bytes held.
    pub fn held(&self) -> u64 {
        self.lock().held
    }

    /// Opens an empty body. `id` must be unique among the open bodies.
    pub fn open(self: &Arc<Self>, id: u64, now: Instant) -> BodyLease {
        let body = Body {
            bytes: Vec::new(),
            size: 0,
            opened_at: now,
            complete: false,
        };
        self.lock().bodies.insert(id, body);
        BodyLease::new(Arc::clone(self), id)
    }

    pub(super) fn append(&self, id: u64, piece: &[u8]) -> Result<(), Refusal> {
        let mut state = self.lock();
        let held = state.held + piece.len() as u64;
        let body = state.bodies.get_mut(&id).ok_or(Refusal::Evicted)?;
        let size = body.size + piece.len() as u64;
        let limit = if size <= SMALL_BODY_BYTES {
            self.max
        } else {
            self.max - self.max / RESERVE_DIVISOR
        };
        if held > limit {
            return Err(Refusal::Full);
        }
        body.bytes.extend_from_slice(piece);
        body.size = size;
        state.held = held;
        Ok(())
    }

    pub(super) fn complete(&self, id: u64) -> Result<Vec<u8>, Refusal> {
        let mut state = self.lock();
        let body = state.bodies.get_mut(&id).ok_or(Refusal::Evicted)?;
        body.complete = true;
        Ok(mem::take(&mut body.bytes))
    }

    pub(super) fn close(&self, id: u64) {
        let body = self.lock().remove(id);
        // Large buffers are freed without the lock.
        drop(body);
    }

    /// Evicts the largest body that is still arriving after 2 s, if it holds more than `size` bytes. Returns
    /// its id.
    pub fn evict_largest(&self, size: u64, now: Instant) -> Option<u64> {
        self.evict(now, |body| (body.size > size).then_some(body.size))
    }

    /// Evicts the oldest body that is still arriving after 2 s. Returns its id.
    pub fn evict_oldest(&self, now: Instant) -> Option<u64> {
        self.evict(now, |body| Some(now.saturating_duration_since(body.opened_at)))
    }

    /// Evicts the body with the highest rank.
    fn evict<R, F>(&self, now: Instant, rank: F) -> Option<u64>
    where
        R: Ord,
        F: Fn(&Body) -> Option<R>,
    {
        let mut state = self.lock();
        let mut victim: Option<(R, u64)> = None;
        for (id, body) in &state.bodies {
            if body.complete || now.saturating_duration_since(body.opened_at) < EVICTION_AGE {
                continue;
            }
            let Some(rank) = rank(body) else { continue };
            if victim.as_ref().is_none_or(|(highest, _)| rank > *highest) {
                victim = Some((rank, *id));
            }
        }
        let (_, id) = victim?;
        let body = state.remove(id);
        drop(state);
        drop(body);
        Some(id)
    }
}
