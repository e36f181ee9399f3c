//! Who leads.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::time::sleep;

use super::leader::{OFFER, ONLY, Seat, read_ledger, reign};
use super::monitor::{Heard, Verdict, Watch};
use super::tables::{LEAD, LEDGER};
use super::{Heartbeat, Hints, LedgerEntry, Offer};
use crate::dispatch::Tuning;
use crate::intake::{Stop, View};
use crate::metric::InstanceMetrics;
use crate::net::SteadyClock;
use crate::port::{Commit, Entries, Orders, Range, RowKey, Rows, StoreError};

/// Times of the election.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Time between two renewals, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Age of the last renewal, by the clock of the store, at which another instance takes the lead, in milliseconds.
    pub heartbeat_timeout_ms: u64,
    /// How long this instance waits before it takes a free lead, in milliseconds; larger instances wait less.
    pub takeover_delay_ms: u64,
    /// Processor share of this instance, in thousandths of a core.
    pub millicores: u32,
    /// How long the rows of a job stay after it has ended, in milliseconds.
    pub retention_ms: u64,
}

/// An instance that may lead.
#[derive(Debug)]
pub struct Candidate<R, O, E> {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start time of the process, in milliseconds; tells its lives apart.
    pub process_start_ms: u64,
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
    /// Hints about rows of callers.
    pub hints: Rc<Hints>,
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
            process_start_ms: self.process_start_ms,
            rows: self.rows.clone(),
            orders: self.orders.clone(),
            entries: self.entries.clone(),
            view: Rc::clone(&self.view),
            stop: Rc::clone(&self.stop),
            metrics: Rc::clone(&self.metrics),
            tuning: self.tuning.clone(),
            timing: self.timing.clone(),
            hints: Rc::clone(&self.hints),
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
            process_start_ms: self.process_start_ms,
        }
    }
}

/// Pause after a failed call to the store.
const RETRY: Duration = Duration::from_millis(200);

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
    let mut wait_ms = candidate.timing.heartbeat_interval_ms;
    let mut watch = Watch::new(
        Arc::clone(&candidate.name),
        candidate.timing.clone(),
        candidate.clock.now(),
    );
    let mut version = None;
    while !candidate.stop.is_stopping() {
        let sent = candidate.clock.now();
        let read = match version {
            None => candidate
                .rows
                .read(&Range::all(LEAD))
                .await
                .map(|page| (page.rows, page.version, page.clock_ms)),
            Some(after) => candidate
                .rows
                .changes(LEAD, after, Duration::from_millis(wait_ms))
                .await
                .map(|changes| (changes.rows, changes.version, changes.clock_ms)),
        };
        let (rows, at, clock_ms) = match read {
            Ok(read) => read,
            Err(StoreError::HistoryGone) => {
                version = None;
                continue;
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot follow the leader");
                sleep(RETRY).await;
                continue;
            }
        };
        watch.hear(&Heard {
            rows: &rows,
            whole: version.is_none(),
            clock_ms,
            sent,
            now: candidate.clock.now(),
            wait_ms,
        });
        version = Some(at);
        wait_ms = watch.wait_ms(clock_ms);
        candidate.hints.set_leader(watch.hints());
        match watch.verdict(clock_ms) {
            Verdict::Follow => {}
            Verdict::Take(fence) => {
                log::info!(fence, holder:? = watch.holder(); "the lead is free");
                return Some(fence);
            }
            Verdict::LookAgain(pause_ms) => {
                sleep(Duration::from_millis(pause_ms)).await;
                version = None;
            }
            Verdict::Resign => {
                resign(candidate).await;
                version = None;
            }
            Verdict::Offer { fence, version } => offer(candidate, fence, version).await,
        }
    }
    None
}

/// Announces that a former life of this process no longer leads, so that the largest instance takes the lead at once.
async fn resign<R, O, E>(candidate: &Candidate<R, O, E>)
where
    R: Rows,
{
    let failed = match read_ledger(&candidate.rows).await {
        Ok(Some((entry, version))) if *entry.holder == *candidate.name => {
            let beat = Heartbeat {
                holder: entry.holder,
                fence: entry.fence,
                released: true,
                ..Heartbeat::default()
            };
            let commit = Commit {
                expect: vec![(RowKey::new(LEDGER, ONLY), version)],
                put: vec![(RowKey::new(LEAD, ONLY), beat.encode_to_vec())],
                ..Commit::default()
            };
            candidate.rows.commit(&commit).await.err()
        }
        // Another instance has taken the lead meanwhile.
        Ok(_) => None,
        Err(error) => Some(error),
    };
    if let Some(error) = failed {
        log::warn!(error:% = error; "cannot announce the end of a former life");
        sleep(RETRY).await;
    }
}

/// Offers to lead instead of the leader with a fencing token.
async fn offer<R, O, E>(candidate: &Candidate<R, O, E>, fence: u64, version: u64)
where
    R: Rows,
{
    let offer = Offer {
        name: candidate.name.to_string(),
        fence,
        millicores: candidate.timing.millicores,
    };
    let commit = Commit {
        expect: vec![(RowKey::new(LEAD, OFFER), version)],
        put: vec![(RowKey::new(LEAD, OFFER), offer.encode_to_vec())],
        ..Commit::default()
    };
    match candidate.rows.commit(&commit).await {
        Ok(_) => log::info!(fence; "offers to lead instead of a smaller instance"),
        // Another instance was faster.
        Err(StoreError::Conflict(_)) => {}
        Err(error) => log::warn!(fence, error:% = error; "cannot offer to lead"),
    }
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
    let beat = Heartbeat {
        holder: candidate.name.to_string(),
        fence,
        millicores: candidate.timing.millicores,
        hints: candidate.hints.address().to_string(),
        ..Heartbeat::default()
    };
    let commit = Commit {
        expect: vec![(RowKey::new(LEDGER, ONLY), version)],
        put: vec![
            (RowKey::new(LEDGER, ONLY), candidate.ledger(fence).encode_to_vec()),
            (RowKey::new(LEAD, ONLY), beat.encode_to_vec()),
        ],
        ..Commit::default()
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
