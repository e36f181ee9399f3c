//! What the leader follows: accepted jobs, endpoints, hints and offers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use prost::Message;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::leader::{DECLINED_PAUSE, OFFER, ONLY};
use super::state::Progress;
use super::tables::{CANCEL_SUFFIX, INTAKE, LEAD, LEDGER, intake_partition, intake_partitions};
use super::{Candidate, Offer};
use crate::dispatch::Dispatcher;
use crate::graph::{JobRecord, Phase, Submission};
use crate::net::wall_ms;
use crate::port::{Entries, Orders, Page, Range, Row, Rows, StoreError};

/// Longest wait for changes in one call. A connection may fall silent for good, and jobs and endpoints are not seen until
/// that is noticed.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// Time in which the feed usually tells of a row, so that a hint needs no reading.
const HINT_PAUSE: Duration = Duration::from_millis(60);

/// Rows that are read at the same time because of hints.
const HINT_READS_MAX: usize = 32;

pub(super) fn submitted(dispatcher: &mut Dispatcher, row: &Row, record: Option<&JobRecord>, phase: Phase, now: u64) {
    let Some(value) = &row.value else { return };
    let submission = match Submission::decode(&**value) {
        Ok(submission) => submission,
        Err(error) => {
            log::error!(job:% = row.key, error:% = error; "stored job is unreadable");
            return;
        }
    };
    let age_ms = wall_ms().saturating_sub(submission.accepted_ms);
    dispatcher.submit(&row.key, submission, record, phase, age_ms, now);
}

fn cancelled(dispatcher: &mut Dispatcher, row: &Row, now: u64) {
    if let Some(id) = row.key.strip_suffix(CANCEL_SUFFIX).filter(|_| row.value.is_some()) {
        dispatcher.cancel(id, now);
    }
}

pub(super) fn endpoint<R, O, E>(candidate: &Candidate<R, O, E>, dispatcher: &mut Dispatcher, row: &Row, now: u64)
where
    E: Entries,
{
    let entry = match &row.value {
        None => None,
        Some(_) => match candidate.entries.endpoint(row) {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(endpoint:% = row.key, error; "entry of an endpoint is unreadable");
                None
            }
        },
    };
    dispatcher.update_endpoint(&row.key, entry, now);
}

/// Reads what was accepted. A store that is down in part may withhold some partitions; the jobs of the others, and those
/// that a former leader has taken in, do not wait for them.
pub(super) async fn read_intake<R, O, E>(
    candidate: &Candidate<R, O, E>,
    progress: &Rc<Progress>,
    tasks: &mut JoinSet<()>,
) where
    R: Rows,
    O: Orders,
    E: Entries,
{
    let reads = intake_partitions().map(async |partition| {
        let range = Range::all(INTAKE).within(Arc::clone(&partition));
        (partition, candidate.rows.read_all(range).await)
    });
    for (partition, read) in join_all(reads).await {
        match read {
            Ok(page) => take_intake(progress, &page.rows, candidate.clock.now()),
            Err(error) => {
                log::warn!(partition:%, error:% = error; "cannot read accepted jobs");
                let (candidate, progress) = (candidate.clone(), Rc::clone(progress));
                tasks.spawn_local(async move { read_partition(&candidate, &progress, &partition).await });
            }
        }
    }
}

/// Reads the accepted jobs of a partition as soon as the store gives them.
async fn read_partition<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Progress, partition: &Arc<str>)
where
    R: Rows,
{
    loop {
        sleep(DECLINED_PAUSE).await;
        let range = Range::all(INTAKE).within(Arc::clone(partition));
        if let Ok(page) = candidate.rows.read_all(range).await {
            log::info!(partition:%; "accepted jobs can be read again");
            take_intake(progress, &page.rows, candidate.clock.now());
            return;
        }
    }
}

pub(super) async fn follow_intake<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>, mut version: u64)
where
    R: Rows,
    O: Orders,
    E: Entries,
{
    let mut reads = JoinSet::new();
    loop {
        while reads.try_join_next().is_some() {}
        match candidate.rows.changes(INTAKE, version, FEED_WAIT).await {
            Ok(changes) => {
                version = changes.version;
                take_intake(&progress, &changes.rows, candidate.clock.now());
            }
            // What the feed no longer tells is in the rows; the version of the first read misses nothing of the others.
            Err(StoreError::HistoryGone) => match candidate.rows.read(&Range::one(LEDGER, ONLY)).await {
                Ok(page) => {
                    version = page.version;
                    for partition in intake_partitions() {
                        let (candidate, progress) = (candidate.clone(), Rc::clone(&progress));
                        reads.spawn_local(async move { read_partition(&candidate, &progress, &partition).await });
                    }
                }
                Err(error) => pause("intake", &error).await,
            },
            Err(error) => pause("intake", &error).await,
        }
    }
}

fn take_intake(progress: &Progress, rows: &[Row], now: u64) {
    let mut dispatcher = progress.dispatcher.borrow_mut();
    for row in rows {
        // The feed also tells of rows that were removed.
        if row.value.is_none() {
            continue;
        }
        if !row.key.ends_with(CANCEL_SUFFIX) && progress.known.borrow_mut().insert(Arc::clone(&row.key)) {
            submitted(&mut dispatcher, row, None, Phase::Queued, now);
        }
    }
    for row in rows {
        cancelled(&mut dispatcher, row, now);
    }
    drop(dispatcher);
    progress.wake.notify_one();
}

pub(super) async fn follow_endpoints<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>, mut version: u64)
where
    R: Rows,
    E: Entries,
{
    let table = candidate.entries.endpoint_table();
    loop {
        let rows = match candidate.rows.changes(table, version, FEED_WAIT).await {
            Ok(changes) => {
                version = changes.version;
                changes.rows
            }
            Err(StoreError::HistoryGone) => match candidate.rows.read_all(Range::all(table)).await {
                Ok(page) => {
                    version = page.version;
                    with_removed(&progress, page)
                }
                Err(error) => {
                    pause("endpoints", &error).await;
                    continue;
                }
            },
            Err(error) => {
                pause("endpoints", &error).await;
                continue;
            }
        };
        let now = candidate.clock.now();
        for row in &rows {
            endpoint(&candidate, &mut progress.dispatcher.borrow_mut(), row, now);
        }
        progress.wake.notify_one();
    }
}

/// Adds the endpoints that are no longer listed to the rows of a whole table.
fn with_removed(progress: &Progress, page: Page) -> Vec<Row> {
    let mut rows = page.rows;
    let listed: Vec<Arc<str>> = rows.iter().map(|row| Arc::clone(&row.key)).collect();
    for (name, endpoint) in progress.dispatcher.borrow().endpoints() {
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

/// Waits for the offer of a larger instance to lead instead.
pub(super) async fn follow_offers<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>)
where
    R: Rows,
{
    let mut version = None;
    loop {
        let read = match version {
            None => candidate
                .rows
                .read(&Range::one(LEAD, OFFER))
                .await
                .map(|page| (page.rows, page.version)),
            Some(after) => candidate
                .rows
                .changes(LEAD, after, FEED_WAIT)
                .await
                .map(|changes| (changes.rows, changes.version)),
        };
        match read {
            Ok((rows, at)) => {
                version = Some(at);
                for row in rows.iter().filter(|row| *row.key == *OFFER) {
                    let Some(offer) = row.value.as_deref().and_then(|value| Offer::decode(value).ok()) else {
                        log::warn!("the offer to lead is unreadable");
                        continue;
                    };
                    if offer.fence != progress.fence {
                        continue;
                    }
                    log::info!(successor:% = offer.name, millicores = offer.millicores; "a larger instance offers to lead");
                    *progress.successor.borrow_mut() = Some(Arc::from(&*offer.name));
                    progress.wake.notify_one();
                    return;
                }
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => pause("offers to lead", &error).await,
        }
    }
}

/// Reads the rows of callers that the feed is late to tell of.
pub(super) async fn follow_hints<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>)
where
    R: Rows,
    O: Orders,
    E: Entries,
{
    let mut reads = JoinSet::new();
    while let Some(key) = candidate.hints.next().await {
        while reads.try_join_next().is_some() {}
        if reads.len() < HINT_READS_MAX {
            let (candidate, progress) = (candidate.clone(), Rc::clone(&progress));
            reads.spawn_local(async move { read_hinted(&candidate, &progress, &key).await });
        }
    }
}

pub(super) async fn read_hinted<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Progress, key: &str)
where
    R: Rows,
{
    sleep(HINT_PAUSE).await;
    let id = key.strip_suffix(CANCEL_SUFFIX).unwrap_or(key);
    let told = if id == key {
        progress.known.borrow().contains(id)
    } else {
        // The job has ended, or is not known and comes with its cancellation.
        !progress.dispatcher.borrow().jobs().contains_key(id)
    };
    if told {
        return;
    }
    let range = Range::one(INTAKE, key).within(intake_partition(id));
    match candidate.rows.read(&range).await {
        Ok(page) => take_intake(progress, &page.rows, candidate.clock.now()),
        Err(error) => log::debug!(key, error:% = error; "cannot read a row that was hinted at"),
    }
}

async fn pause(what: &str, error: &StoreError) {
    log::warn!(what, error:% = error; "cannot follow the store");
    sleep(DECLINED_PAUSE).await;
}
