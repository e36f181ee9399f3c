//! Who leads.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::time::sleep;

use super::leader::{ONLY, Seat, read_ledger, reign};
use super::tables::{LEAD, LEDGER};
use super::{Beat, LedgerEntry};
use crate::dispatch::Tuning;
use crate::intake::{Stop, View};
use crate::metric::InstanceMetrics;
use crate::net::SteadyClock;
use crate::port::{Commit, Entries, Orders, Range, RowKey, Rows, StoreError};

/// Times of the election.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Time between two renewals, in milliseconds.
    pub beat_ms: u64,
    /// Age of the last renewal, by the clock of the store, at which another instance takes the lead, in milliseconds.
    pub lapse_ms: u64,
    /// How long this instance waits before it takes a free lead, in milliseconds; larger instances wait less.
    pub defer_ms: u64,
}

/// An instance that may lead.
#[derive(Debug)]
pub struct Candidate<R, O, E> {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start time of the process, in milliseconds; tells its lives apart.
    pub life: u64,
    /// Store.
    pub rows: R,
    /// Orders to endpoints.
    pub orders: O,
    /// Reading of foreign rows.
    pub entries: E,
    /// Configuration as this instance knows it.
    pub view: Rc<View>,
    /// Whether the instance is to stop.
    pub stop: Rc<Stop>,
    /// Metrics of the instance.
    pub metrics: Rc<InstanceMetrics>,
    /// Times and weights of decisions.
    pub tuning: Tuning,
    /// Times of the election.
    pub timing: Timing,
    /// Steady clock.
    pub clock: SteadyClock,
}

impl<R, O, E> Clone for Candidate<R, O, E>
where
    R: Clone,
    O: Clone,
    E: Clone,
{
    fn clone(&self) -> Self {
        Self {
            name: Arc::clone(&self.name),
            life: self.life,
            rows: self.rows.clone(),
            orders: self.orders.clone(),
            entries: self.entries.clone(),
            view: Rc::clone(&self.view),
            stop: Rc::clone(&self.stop),
            metrics: Rc::clone(&self.metrics),
            tuning: self.tuning.clone(),
            timing: self.timing.clone(),
            clock: self.clock,
        }
    }
}

impl<R, O, E> Candidate<R, O, E> {
    /// Content of the ledger row while this process leads with a fencing token.
    pub(super) fn ledger(&self, fence: u64) -> LedgerEntry {
        LedgerEntry {
            fence,
            holder: self.name.to_string(),
            life: self.life,
        }
    }
}

/// Pause after a failed call to the store.
const RETRY: Duration = Duration::from_millis(200);

/// Longest time between two answers of the store after which the age of a renewal is counted anew, in milliseconds. While
/// the store is away no leader can renew.
const GAP_MS: u64 = 1_500;

/// Follows the leader, and leads when there is none, until the instance stops.
pub async fn run<R, O, E>(candidate: Candidate<R, O, E>)
where
    R: Rows,
    O: Orders,
    E: Entries,
{
    while !candidate.stop.is_stopping() {
        if candidate.view.policy().is_none() {
            sleep(RETRY).await;
            continue;
        }
        let Some(fence) = wait_for_vacancy(&candidate).await else {
            return;
        };
        match take(&candidate, fence).await {
            Ok(Some(seat)) => reign(&candidate, seat).await,
            Ok(None) => {}
            Err(error) => {
                log::warn!(error:% = error; "cannot take the lead");
                sleep(RETRY).await;
            }
        }
    }
}

/// Waits until the lead seems to be free; returns the fencing token of the last leader, or `None` if the instance stops.
async fn wait_for_vacancy<R, O, E>(candidate: &Candidate<R, O, E>) -> Option<u64>
where
    R: Rows,
{
    let mut version = None;
    // The renewal last seen and the clock of the store since when it is known.
    let mut seen: Option<(Option<Beat>, u64)> = None;
    let mut answered = candidate.clock.now();
    while !candidate.stop.is_stopping() {
        let wait = Duration::from_millis(candidate.timing.beat_ms);
        let read = match version {
            None => candidate
                .rows
                .read(&Range::one(LEAD, ONLY))
                .await
                .map(|page| (page.rows, page.version, page.clock_ms, true)),
            Some(after) => candidate
                .rows
                .changes(LEAD, after, wait)
                .await
                .map(|changes| (changes.rows, changes.version, changes.clock_ms, false)),
        };
        let now = candidate.clock.now();
        let gap = now.saturating_sub(answered) > GAP_MS + candidate.timing.beat_ms;
        match read {
            Ok((rows, at, clock_ms, whole)) => {
                answered = now;
                version = Some(at);
                if let Some(row) = rows.last() {
                    let beat = row.value.as_deref().and_then(|value| Beat::decode(value).ok());
                    if seen.as_ref().is_none_or(|(known, _)| *known != beat) || gap {
                        seen = Some((beat, clock_ms));
                    }
                } else if whole && seen.is_none() || gap {
                    let known = seen.take().and_then(|(beat, _)| beat);
                    seen = Some((known, clock_ms));
                }
                let Some((beat, since)) = &seen else { continue };
                let age = clock_ms.saturating_sub(*since);
                let vacant = match beat {
                    // A former life of this process held it, and that is over.
                    Some(beat) if *beat.holder == *candidate.name => true,
                    Some(beat) if !beat.released => age >= candidate.timing.lapse_ms + candidate.timing.defer_ms,
                    _ => age >= candidate.timing.defer_ms,
                };
                if vacant {
                    log::info!(age_ms = age, holder:? = beat.as_ref().map(|beat| &beat.holder); "the lead is free");
                    return Some(beat.as_ref().map_or(0, |beat| beat.fence));
                }
                if beat.as_ref().is_none_or(|beat| beat.released) {
                    sleep(Duration::from_millis(candidate.timing.defer_ms.saturating_sub(age))).await;
                    version = None;
                }
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                log::warn!(error:% = error; "cannot follow the leader");
                sleep(RETRY).await;
            }
        }
    }
    None
}

/// Tries to take the lead; `None` if another instance was faster.
async fn take<R, O, E>(candidate: &Candidate<R, O, E>, last: u64) -> Result<Option<Seat>, StoreError>
where
    R: Rows,
{
    let found = read_ledger(&candidate.rows).await?;
    let (fence, version) = found.map_or((0, 0), |(entry, version)| (entry.fence, version));
    // Another instance was faster.
    if fence > last {
        return Ok(None);
    }
    let fence = fence + 1;
    let beat = Beat {
        holder: candidate.name.to_string(),
        fence,
        count: 0,
        released: false,
    };
    let commit = Commit {
        expect: vec![(RowKey::new(LEDGER, ONLY), version)],
        put: vec![
            (RowKey::new(LEDGER, ONLY), candidate.ledger(fence).encode_to_vec()),
            (RowKey::new(LEAD, ONLY), beat.encode_to_vec()),
        ],
        remove: Vec::new(),
    };
    match candidate.rows.commit(&commit).await {
        Ok(version) => Ok(Some(Seat { fence, version })),
        Err(StoreError::Conflict(_)) => Ok(None),
        Err(error @ StoreError::Unknown(_)) => {
            // It may have been done.
            match read_ledger(&candidate.rows).await? {
                Some((entry, version)) if entry == candidate.ledger(fence) => Ok(Some(Seat { fence, version })),
                _ => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}
