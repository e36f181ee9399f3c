//! Choice of the connection that has to go when a server reaches a limit.
//!
//! The pattern of load is a crowd of clients that send most of a request and then keep their connections open, beside
//! ordinary clients whose requests are small and arrive at once. A connection whose request is being handled is never
//! chosen, since its request may take effect.

use std::time::Duration;

/// Largest body that is received while larger ones are turned away, in bytes. Most jobs are a few hundred bytes; the
/// largest payload that callers are promised is 4,000.
pub const SMALL_BODY_BYTES: usize = 16 * 1_024;

/// Share of the limit on bodies that is left for small ones.
const SMALL_BODY_SHARE: usize = 4;

/// What a connection that is not being handled occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Number of the connection.
    pub connection: u64,
    /// Bytes of its body that the process holds.
    pub bytes: usize,
    /// Time since its request began or, between two requests, since the last answer.
    pub age: Duration,
}

impl Occupancy {
    /// Memory held, times how long; a stalled body outweighs a small one that has just begun.
    fn weight(&self) -> u128 {
        self.bytes as u128 * self.age.as_millis().max(1)
    }
}

/// Most bytes that all bodies may hold once one of them has grown to `bytes`, of `limit` in total.
pub fn limit_for(bytes: usize, limit: usize) -> usize {
    if bytes <= SMALL_BODY_BYTES {
        limit
    } else {
        limit - limit / SMALL_BODY_SHARE
    }
}

/// The connection to refuse so that the body of `growing` can take `bytes`; `None` if there is no other one. A large body
/// that outweighs all others is refused itself.
pub fn heaviest<I>(held: I, growing: Occupancy, bytes: usize) -> Option<u64>
where
    I: Iterator<Item = Occupancy>,
{
    let others = held.filter(|other| other.connection != growing.connection && other.bytes > 0);
    let found = others.max_by_key(Occupancy::weight)?;
    let grown = Occupancy { bytes, ..growing };
    if bytes > SMALL_BODY_BYTES && grown.weight() > found.weight() {
        return Some(growing.connection);
    }
    Some(found.connection)
}

/// The connection to close so that another one can be accepted: the one that has waited longest.
pub fn oldest<I>(held: I) -> Option<u64>
where
    I: Iterator<Item = Occupancy>,
{
    held.max_by_key(|found| found.age).map(|found| found.connection)
}
