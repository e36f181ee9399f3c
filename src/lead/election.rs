//! Leader election through the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::time::sleep;

use super::leader::{LedgerPage, LedgerVersion, OFFER_KEY, SINGLE_ROW_KEY, lead, read_ledger};
use super::monitor::{FollowerAction, LeaderMonitor, Observation};
use super::tables::{LEAD, LEDGER};
use super::withdrawals::LATE_WRITE_MAX;
use super::{Heartbeat, Hints, LedgerEntry, Offer};
use crate::dispatch::Tuning;
use crate::intake::{ConfigView, StopSignal};
use crate::metric::InstanceMetrics;
use crate::net::SteadyClock;
use crate::port::{Commit, EntryDecoder, Orders, Range, RowKey, RowStore, StoreError};

/// Interval at which the leader renews its row, in milliseconds; several renewals fit into `LEADER_EXPIRY_MS`.
const LEADER_RENEWAL_MS: u64 = 500;

/// Age of the last renewal at which another instance takes over, in milliseconds: three renewals, and longer than a renewal
/// takes on a store that is sixty times as slow as usual.
const LEADER_EXPIRY_MS: u64 = 1_500;

/// Time that an instance with a whole core waits before it becomes leader, in milliseconds; smaller ones wait longer.
const TAKEOVER_DELAY_MS: f64 = 30.0;

/// How long the rows of an ended job are kept, as a multiple of the time for which callers may query it. A submission that
/// is repeated after that creates a new job; repeated submissions arrive seconds late. The rows are kept for at least
/// [`LATE_WRITE_MAX`]: a write that came after their removal would start the job again, or cancel a later one of the same id.
const ENDED_JOB_RETENTION_FACTOR: f64 = 4.0;

/// Intervals and timeouts of the election, with the instance's processor share and the retention time of rows.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Age of the last heartbeat, by the clock of the store, at which another instance takes over, in milliseconds.
    pub heartbeat_timeout_ms: u64,
    /// Delay before this instance takes over free leadership, in milliseconds; larger instances wait less.
    pub takeover_delay_ms: u64,
    /// Processor share of this instance, in thousandths of a core.
    pub millicores: u32,
    /// How long the rows of an ended job are kept, in milliseconds.
    pub retention_ms: u64,
}

impl Timing {
    /// Times of an instance with this share of a processor core, if callers may query an ended job for `query_s` seconds.
    /// An instance with a larger share takes over sooner.
    pub fn for_instance(cpu_share: f64, query_s: f64) -> Self {
        Self {
            heartbeat_interval_ms: LEADER_RENEWAL_MS,
            heartbeat_timeout_ms: LEADER_EXPIRY_MS,
            takeover_delay_ms: (TAKEOVER_DELAY_MS / cpu_share) as u64,
            retention_ms: ((query_s * ENDED_JOB_RETENTION_FACTOR * 1_000.0) as u64)
                .max(LATE_WRITE_MAX.as_millis() as u64),
            millicores: (cpu_share * 1_000.0) as u32,
        }
    }
}

/// An instance that takes part in the election, with all it needs to lead.
#[derive(Debug)]
pub struct Candidate<R, O, E> {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start time of the process, in milliseconds; distinguishes it from earlier processes of the same instance.
    pub process_start_ms: u64,
    /// Store of rows.
    pub rows: R,
    /// Sender of orders to endpoints.
    pub orders: O,
    /// Decoder of the rows that operators and endpoints write.
    pub entries: E,
    /// Configuration as this instance knows it.
    pub view: Rc<ConfigView>,
    /// Signal to stop the instance.
    pub stop: Rc<StopSignal>,
    /// Metrics of the instance.
    pub metrics: Rc<InstanceMetrics>,
    /// Times and weights of scheduling decisions.
    pub tuning: Tuning,
    /// Intervals and timeouts of the election.
    pub timing: Timing,
    /// Hints about new intake rows.
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
    /// Whether this process wrote a value of the ledger row.
    pub(super) fn wrote(&self, entry: &LedgerEntry) -> bool {
        entry.holder == *self.name && entry.process_start_ms == self.process_start_ms
    }

    /// Value of the ledger row while this process leads with the fencing token `fence`, in a transaction sent at `sent_at`
    /// on the clock of the store.
    pub(super) fn ledger_entry(&self, fence: u64, sent_at: Option<u64>) -> LedgerEntry {
        LedgerEntry {
            fence,
            holder: self.name.to_string(),
            process_start_ms: self.process_start_ms,
            sent_at,
        }
    }
}

/// Pause after a failed call to the store during the election.
const ELECTION_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Follows the leader, and leads whenever the election makes this instance the leader, until the instance stops.
pub async fn run<R, O, E>(candidate: Candidate<R, O, E>)
where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    while !candidate.stop.is_stopping() {
        if candidate.view.config().is_none() {
            sleep(ELECTION_RETRY_PAUSE).await;
            continue;
        }
        let Some(fence) = wait_until_leaderless(&candidate).await else {
            return;
        };
        let sent_at = candidate.clock.now();
        match take_over(&candidate, fence).await {
            Ok(Some(takeover)) => lead(&candidate, takeover, sent_at).await,
            Ok(None) => {}
            Err(error) => {
                log::warn!(error:% = error; "cannot take over leadership");
                sleep(ELECTION_RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until this instance should take over; returns the fencing token of the last leader, or `None` if the instance
/// stops.
async fn wait_until_leaderless<R, O, E>(candidate: &Candidate<R, O, E>) -> Option<u64>
where
    R: RowStore,
{
    let mut wait_ms = candidate.timing.heartbeat_interval_ms;
    let mut monitor = LeaderMonitor::new(
        Arc::clone(&candidate.name),
        candidate.timing.clone(),
        candidate.clock.now(),
    );
    let mut version = None;
    while !candidate.stop.is_stopping() {
        let sent_at = candidate.clock.now();
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
        let (rows, read_version, clock_ms) = match read {
            Ok(read) => read,
            Err(StoreError::HistoryGone) => {
                version = None;
                continue;
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot read the leader's heartbeat from the store");
                sleep(ELECTION_RETRY_PAUSE).await;
                continue;
            }
        };
        monitor.observe(&Observation {
            rows: &rows,
            complete: version.is_none(),
            clock_ms,
            sent_at,
            answered_at: candidate.clock.now(),
            wait_ms,
        });
        version = Some(read_version);
        wait_ms = monitor.wait_ms(clock_ms);
        candidate.hints.set_leader(monitor.hint_address());
        match monitor.next_action(clock_ms) {
            FollowerAction::Follow => {}
            FollowerAction::TakeOver(fence) => {
                log::info!(fence, holder:? = monitor.holder(); "leadership is free");
                return Some(fence);
            }
            FollowerAction::CheckAgain(pause_ms) => {
                sleep(Duration::from_millis(pause_ms)).await;
                version = None;
            }
            FollowerAction::ReleaseStale => {
                release_stale_leadership(candidate).await;
                version = None;
            }
            FollowerAction::Offer { fence, version } => write_offer(candidate, fence, version).await,
        }
    }
    None
}

/// Releases leadership that an earlier process of this instance held, so that the largest instance takes over at once
/// instead of waiting for the heartbeat timeout.
async fn release_stale_leadership<R, O, E>(candidate: &Candidate<R, O, E>)
where
    R: RowStore,
{
    let failure = match read_ledger(&candidate.rows).await {
        Ok(LedgerPage {
            row: Some((entry, version)),
            ..
        }) if *entry.holder == *candidate.name => {
            let heartbeat = Heartbeat {
                holder: entry.holder,
                fence: entry.fence,
                released: true,
                ..Heartbeat::default()
            };
            let commit = Commit {
                expect: vec![(RowKey::new(LEDGER, SINGLE_ROW_KEY), version)],
                put: vec![(RowKey::new(LEAD, SINGLE_ROW_KEY), heartbeat.encode_to_vec())],
                ..Commit::default()
            };
            candidate.rows.commit(&commit).await.err()
        }
        // Another instance has taken over meanwhile.
        Ok(_) => None,
        Err(error) => Some(error),
    };
    if let Some(error) = failure {
        log::warn!(error:% = error; "cannot release leadership held by an earlier process of this instance");
        sleep(ELECTION_RETRY_PAUSE).await;
    }
}

/// Offers to replace the leader with the fencing token `fence`; `version` is that of the offer row.
async fn write_offer<R, O, E>(candidate: &Candidate<R, O, E>, fence: u64, version: u64)
where
    R: RowStore,
{
    let offer = Offer {
        name: candidate.name.to_string(),
        fence,
        millicores: candidate.timing.millicores,
    };
    let commit = Commit {
        expect: vec![(RowKey::new(LEAD, OFFER_KEY), version)],
        put: vec![(RowKey::new(LEAD, OFFER_KEY), offer.encode_to_vec())],
        ..Commit::default()
    };
    match candidate.rows.commit(&commit).await {
        Ok(_) => log::info!(fence; "offered to replace a smaller leader"),
        // Another instance has written an offer first.
        Err(StoreError::Conflict(_)) => {}
        Err(error) => log::warn!(fence, error:% = error; "cannot write an offer to replace the leader"),
    }
}

/// A successful takeover.
pub(super) struct Takeover {
    pub ledger: LedgerVersion,
    /// Local time after which no former leader had its lead confirmed, in milliseconds, as far as the ledger row tells.
    pub former_sent_at: Option<u64>,
}

/// Tries to take over from the leader with the fencing token `last_fence`; `None` if another instance did so first.
async fn take_over<R, O, E>(candidate: &Candidate<R, O, E>, last_fence: u64) -> Result<Option<Takeover>, StoreError>
where
    R: RowStore,
{
    let read_at = candidate.clock.now();
    let page = read_ledger(&candidate.rows).await?;
    // The last transaction of the former leader came before this read, and its lead was confirmed when it was sent. So the
    // time of the transaction below bounds those of all former leaders.
    let answered_at = candidate.clock.now();
    let sent_at = page.clock_ms.saturating_add(answered_at.saturating_sub(read_at));
    let former_sent_at = page.row.as_ref().and_then(|(entry, _)| entry.sent_at).map(|at| {
        answered_at
            .saturating_add(at)
            .saturating_sub(page.clock_ms)
            .min(answered_at)
    });
    let (fence, version) = page.row.map_or((0, 0), |(entry, version)| (entry.fence, version));
    // Another instance has taken over since.
    if fence > last_fence {
        return Ok(None);
    }
    let Some(fence) = fence.checked_add(1) else {
        return Err(StoreError::Unreadable(
            "the fencing token in the ledger has the largest value".to_owned(),
        ));
    };
    let heartbeat = Heartbeat {
        holder: candidate.name.to_string(),
        fence,
        millicores: candidate.timing.millicores,
        hint_address: candidate.hints.address().to_string(),
        ..Heartbeat::default()
    };
    let written = candidate.ledger_entry(fence, Some(sent_at));
    let commit = Commit {
        expect: vec![(RowKey::new(LEDGER, SINGLE_ROW_KEY), version)],
        put: vec![
            (RowKey::new(LEDGER, SINGLE_ROW_KEY), written.encode_to_vec()),
            (RowKey::new(LEAD, SINGLE_ROW_KEY), heartbeat.encode_to_vec()),
        ],
        ..Commit::default()
    };
    let takeover = |version| {
        Some(Takeover {
            ledger: LedgerVersion { fence, version },
            former_sent_at,
        })
    };
    match candidate.rows.commit(&commit).await {
        Ok(version) => Ok(takeover(version)),
        Err(StoreError::Conflict(_)) => Ok(None),
        Err(error @ StoreError::Unknown(_)) => {
            // The transaction may have been applied although no answer arrived.
            match read_ledger(&candidate.rows).await?.row {
                // The row of an earlier attempt tells an earlier time than that from which this lead would count.
                Some((entry, version)) if entry == written => Ok(takeover(version)),
                _ => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}
