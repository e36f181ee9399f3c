//! Input of the leader: change feeds of jobs, endpoints and offers, and hints.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use prost::Message;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::leader::{OFFER_KEY, SINGLE_ROW_KEY, STORE_RETRY_PAUSE};
use super::load::Activity;
use super::state::LeaderState;
use super::tables::{CANCEL_SUFFIX, INTAKE, LEAD, LEDGER, intake_partition, intake_partitions};
use super::{Candidate, Offer};
use crate::dispatch::Dispatcher;
use crate::graph::{JobRecord, Phase, Submission};
use crate::net::wall_ms;
use crate::port::{EntryDecoder, Orders, Page, Range, Row, RowStore, StoreError};

/// Longest wait for changes in one call. If a connection stops responding, changes of jobs and endpoints go unseen
/// until the call times out.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// Delay before a hinted row is read; within it the change feed usually delivers the row, which saves the read.
const HINT_READ_DELAY: Duration = Duration::from_millis(60);

/// Least time between two log lines about the undecodable entry of one endpoint, in milliseconds; endpoints write their
/// entries again with each heartbeat.
const REJECTION_LOG_INTERVAL_MS: u64 = 60_000;

/// Most concurrent reads of hinted rows.
const HINT_READS_MAX: usize = 32;

/// Adds the job of a row to the dispatcher; returns the time since its acceptance, in milliseconds.
pub(super) fn submit_from_row(
    dispatcher: &mut Dispatcher,
    row: &Row,
    record: Option<&JobRecord>,
    phase: Phase,
    now: u64,
) -> Option<u64> {
    let value = row.value.as_ref()?;
    let submission = match Submission::decode(&**value) {
        Ok(submission) => submission,
        Err(error) => {
            log::error!(job:% = row.key, error:% = error; "cannot decode a stored submission");
            return None;
        }
    };
    if let Err(error) = submission.graph.check() {
        log::error!(job:% = row.key, error:% = error; "stored submission is not valid; ignored");
        return None;
    }
    let age_ms = wall_ms().saturating_sub(submission.accepted_ms);
    dispatcher.submit(&row.key, submission, record, phase, age_ms, now);
    Some(age_ms)
}

pub(super) fn update_endpoint_from_row<R, O, E>(
    candidate: &Candidate<R, O, E>,
    state: &LeaderState,
    dispatcher: &mut Dispatcher,
    row: &Row,
    now: u64,
) where
    E: EntryDecoder,
{
    let entry = match &row.value {
        None => {
            state.rejected_entries.borrow_mut().remove(&row.key);
            None
        }
        // An entry that cannot be decoded names no endpoint for new work; runs under its name keep their leases.
        Some(_) => match candidate.entries.decode_endpoint(row) {
            Ok(entry) => entry,
            Err(error) => {
                log_rejected_entry(state, &row.key, &error, now);
                None
            }
        },
    };
    dispatcher.update_endpoint(&row.key, entry, now);
}

fn log_rejected_entry(state: &LeaderState, name: &Arc<str>, error: &str, now: u64) {
    let mut rejected_entries = state.rejected_entries.borrow_mut();
    let logged_at = rejected_entries.get(name);
    if logged_at.is_some_and(|at| now.saturating_sub(*at) < REJECTION_LOG_INTERVAL_MS) {
        return;
    }
    rejected_entries.insert(Arc::clone(name), now);
    log::warn!(endpoint:% = name, error; "cannot decode the entry of an endpoint");
}

/// Reads the accepted jobs of all partitions. Partitions that are unavailable are read again in tasks of their own, so
/// that they do not delay the jobs of the other partitions. Nothing more of the jobs copied by a former leader is started
/// until their partition has been read, since it may have their cancellations.
pub(super) async fn read_intake<R, O, E>(
    candidate: &Candidate<R, O, E>,
    state: &Rc<LeaderState>,
    tasks: &mut JoinSet<()>,
) where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    let reads = intake_partitions().map(async |partition| {
        let range = Range::all(INTAKE).within(Arc::clone(&partition));
        (partition, candidate.rows.read_all(range).await)
    });
    for (partition, read) in join_all(reads).await {
        match read {
            Ok(page) => apply_intake_rows(state, &page.rows, candidate.clock.now()),
            Err(error) => {
                log::warn!(partition:%, error:% = error; "cannot read accepted jobs; trying again until the partition is available");
                state.await_read(&partition);
                let (candidate, state) = (candidate.clone(), Rc::clone(state));
                tasks.spawn_local(async move { read_partition_with_retry(&candidate, &state, &partition).await });
            }
        }
    }
}

/// Reads the accepted jobs of a partition, and tries again until that succeeds.
async fn read_partition_with_retry<R, O, E>(candidate: &Candidate<R, O, E>, state: &LeaderState, partition: &Arc<str>)
where
    R: RowStore,
{
    let page = loop {
        let range = Range::all(INTAKE).within(Arc::clone(partition));
        match candidate.rows.read_all(range).await {
            Ok(page) => break page,
            Err(_) => sleep(STORE_RETRY_PAUSE).await,
        }
    };
    log::info!(partition:%; "read the accepted jobs of a partition");
    apply_intake_rows(state, &page.rows, candidate.clock.now());
    state.finish_read(partition);
}

pub(super) async fn follow_intake<R, O, E>(candidate: Candidate<R, O, E>, state: Rc<LeaderState>, mut version: u64)
where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    let mut reads = JoinSet::new();
    loop {
        while reads.try_join_next().is_some() {}
        match candidate.rows.changes(INTAKE, version, FEED_WAIT).await {
            Ok(changes) => {
                version = changes.version;
                apply_intake_rows(&state, &changes.rows, candidate.clock.now());
            }
            // Changes that the feed no longer has are found by reading all partitions. The feed continues from a
            // version read before them, so it misses nothing. Until then known jobs may have been cancelled.
            Err(StoreError::HistoryGone) => match candidate.rows.read(&Range::one(LEDGER, SINGLE_ROW_KEY)).await {
                Ok(page) => {
                    version = page.version;
                    for partition in intake_partitions() {
                        state.await_read(&partition);
                        let (candidate, state) = (candidate.clone(), Rc::clone(&state));
                        reads.spawn_local(
                            async move { read_partition_with_retry(&candidate, &state, &partition).await },
                        );
                    }
                }
                Err(error) => log_and_pause("intake", &error).await,
            },
            Err(error) => log_and_pause("intake", &error).await,
        }
    }
}

fn apply_intake_rows(state: &LeaderState, rows: &[Row], now: u64) {
    state.load.time(Activity::Feed, || submit_and_cancel(state, rows, now));
    state.wake.notify_one();
}

fn submit_and_cancel(state: &LeaderState, rows: &[Row], now: u64) {
    let mut dispatcher = state.dispatcher.borrow_mut();
    let rows: Vec<&Row> = rows.iter().filter(|row| !is_removed(state, row)).collect();
    let mut cancelled_jobs = state.cancelled_jobs.borrow_mut();
    for row in &rows {
        let Some(id) = row.key.strip_suffix(CANCEL_SUFFIX) else {
            continue;
        };
        cancelled_jobs.insert(Arc::from(id));
        dispatcher.cancel(id, now);
    }
    for row in &rows {
        if row.key.ends_with(CANCEL_SUFFIX) || !state.known_jobs.borrow_mut().insert(Arc::clone(&row.key)) {
            continue;
        }
        if let Some(age_ms) = submit_from_row(&mut dispatcher, row, None, Phase::Queued, now) {
            state.load.record_job_read(Duration::from_millis(age_ms));
        }
        // The change feed may deliver the cancellation before a slow read of the partition delivers the job.
        if cancelled_jobs.contains(&row.key) {
            dispatcher.cancel(&row.key, now);
        }
    }
}

/// Whether an intake row has been removed, as far as this leader knows: the change feed also delivers removed rows, and
/// a slow read may return the row of an ended job after its removal.
fn is_removed(state: &LeaderState, row: &Row) -> bool {
    let id = row.key.strip_suffix(CANCEL_SUFFIX).unwrap_or(&row.key);
    let removed_at = state.removed_at.borrow().get(id).copied();
    row.value.is_none() || removed_at.is_some_and(|version| row.version < version)
}

pub(super) async fn follow_endpoints<R, O, E>(candidate: Candidate<R, O, E>, state: Rc<LeaderState>, mut version: u64)
where
    R: RowStore,
    E: EntryDecoder,
{
    let table = candidate.entries.endpoint_table();
    loop {
        let sent_at = candidate.clock.now();
        let rows = match candidate.rows.changes(table, version, FEED_WAIT).await {
            Ok(changes) => {
                state.note_store_clock(changes.clock_ms, sent_at);
                version = changes.version;
                changes.rows
            }
            Err(StoreError::HistoryGone) => match candidate.rows.read_all(Range::all(table)).await {
                Ok(page) => {
                    version = page.version;
                    with_unlisted_endpoints(&state, page)
                }
                Err(error) => {
                    log_and_pause("endpoints", &error).await;
                    continue;
                }
            },
            Err(error) => {
                log_and_pause("endpoints", &error).await;
                continue;
            }
        };
        let now = candidate.clock.now();
        state.load.time(Activity::Feed, || {
            for row in &rows {
                update_endpoint_from_row(&candidate, &state, &mut state.dispatcher.borrow_mut(), row, now);
            }
        });
        state.wake.notify_one();
    }
}

/// Rows of a whole read of the table, with a removed row added for each known endpoint that is no longer in it.
fn with_unlisted_endpoints(state: &LeaderState, page: Page) -> Vec<Row> {
    let mut rows = page.rows;
    let listed: Vec<Arc<str>> = rows.iter().map(|row| Arc::clone(&row.key)).collect();
    for (name, endpoint) in state.dispatcher.borrow().endpoints() {
        if endpoint.listed && !listed.contains(name) {
            rows.push(Row {
                key: Arc::clone(name),
                value: None,
                version: page.version,
            });
        }
    }
    rows
}

/// Waits until a larger instance offers to replace this leader, and makes it the successor.
pub(super) async fn follow_offers<R, O, E>(candidate: Candidate<R, O, E>, state: Rc<LeaderState>)
where
    R: RowStore,
{
    let mut version = None;
    loop {
        let read = match version {
            None => candidate
                .rows
                .read(&Range::one(LEAD, OFFER_KEY))
                .await
                .map(|page| (page.rows, page.version)),
            Some(after) => candidate
                .rows
                .changes(LEAD, after, FEED_WAIT)
                .await
                .map(|changes| (changes.rows, changes.version)),
        };
        match read {
            Ok((rows, read_version)) => {
                version = Some(read_version);
                for row in rows.iter().filter(|row| *row.key == *OFFER_KEY) {
                    let Some(offer) = row.value.as_deref().and_then(|value| Offer::decode(value).ok()) else {
                        log::warn!("cannot decode an offer to replace the leader");
                        continue;
                    };
                    // The token may have been raised since the follower read it.
                    if offer.fence < state.first_fence || offer.fence > state.fence() {
                        continue;
                    }
                    log::info!(successor:% = offer.name, millicores = offer.millicores; "handing leadership over to a larger instance");
                    *state.successor.borrow_mut() = Some(Arc::from(&*offer.name));
                    state.wake.notify_one();
                    return;
                }
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => log_and_pause("offers to lead", &error).await,
        }
    }
}

/// Reads the hinted intake rows that the change feed has not delivered in time.
pub(super) async fn follow_hints<R, O, E>(candidate: Candidate<R, O, E>, state: Rc<LeaderState>)
where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    let mut reads = JoinSet::new();
    while let Some(key) = candidate.hints.next().await {
        while reads.try_join_next().is_some() {}
        if reads.len() < HINT_READS_MAX {
            let (candidate, state) = (candidate.clone(), Rc::clone(&state));
            reads.spawn_local(async move { read_hinted_row(&candidate, &state, &key).await });
        }
    }
}

/// Reads an intake row, unless the change feed delivers it within [`HINT_READ_DELAY`].
pub(super) async fn read_hinted_row<R, O, E>(candidate: &Candidate<R, O, E>, state: &LeaderState, key: &str)
where
    R: RowStore,
{
    sleep(HINT_READ_DELAY).await;
    let id = key.strip_suffix(CANCEL_SUFFIX).unwrap_or(key);
    let skip = if id == key {
        state.known_jobs.borrow().contains(id)
    } else {
        // A job that is missing here has ended, or will be read together with its cancellation.
        !state.dispatcher.borrow().jobs().contains_key(id)
    };
    if skip {
        return;
    }
    let range = Range::one(INTAKE, key).within(intake_partition(id));
    match candidate.rows.read(&range).await {
        Ok(page) => apply_intake_rows(state, &page.rows, candidate.clock.now()),
        Err(error) => log::debug!(key, error:% = error; "cannot read a hinted row"),
    }
}

async fn log_and_pause(what: &str, error: &StoreError) {
    log::warn!(what, error:% = error; "cannot read a change feed of the store");
    sleep(STORE_RETRY_PAUSE).await;
}
