//! A reign: from the takeover until the lead is given up or lost.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use prost::Message;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::progress::Progress;
use super::strain::LOOK_MS;
use super::tables::{
    CANCEL_SUFFIX, INTAKE, JOB, LEAD, LEARNED, LEDGER, PENDING, PHASE, RECORD, decode_phase, encode_phase,
    intake_partition, intake_partitions,
};
use super::{Beat, Candidate, LedgerEntry, Offer, tend};
use crate::dispatch::{Dispatcher, Learned, Snapshot};
use crate::graph::{JobRecord, Phase, Submission};
use crate::net::wall_ms;
use crate::port::{Commit, Entries, Orders, Page, Range, Row, RowKey, Rows, StoreError};

/// Key of the only row of a table that has one; in [`LEAD`] that of the leader's sign of life.
pub(super) const ONLY: &str = "1";

/// Key of the row of [`LEAD`] in which an instance offers to lead.
pub(super) const OFFER: &str = "offer";

/// Pause after the store declined a call.
const DECLINED_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for changes in one call. A connection may fall silent for good, and jobs and endpoints are not seen until
/// that is noticed.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// Time in which the feed usually tells of a row, so that a hint needs no reading.
const HINT_PAUSE: Duration = Duration::from_millis(60);

/// Rows that are read at the same time because of hints.
const HINT_READS_MAX: usize = 32;

/// Least time between two writes of the number of waiting jobs, in milliseconds.
const PENDING_MS: u64 = 500;

/// Time between two writes of what was learned, in milliseconds; a new leader starts with figures of about this age.
const LEARNED_MS: u64 = 3_000;

/// Time between two updates of the metrics, in milliseconds; shorter than any usual interval of collection.
const METRICS_MS: u64 = 1_000;

/// The ledger row as the leader last wrote it.
#[derive(Debug, Clone)]
pub(super) struct Seat {
    /// Fencing token.
    pub fence: u64,
    /// Version of the ledger row.
    pub version: u64,
}

/// Leads until the lead is lost, or given up because `candidate` is to stop.
pub(super) async fn reign<R, O, E>(candidate: &Candidate<R, O, E>, seat: Seat)
where
    R: Rows,
    O: Orders,
    E: Entries,
{
    log::info!(fence = seat.fence; "takes the lead");
    let dispatcher = Dispatcher::new(candidate.tuning.clone(), candidate.clock.now());
    let progress = Progress::new(dispatcher, seat.fence, candidate.clock);
    let loaded = loop {
        if candidate.stop.is_stopping() {
            return;
        }
        match load(candidate, &progress).await {
            Ok(loaded) => break loaded,
            Err(error) => log::warn!(error:% = error; "cannot read what is stored"),
        }
        sleep(DECLINED_PAUSE).await;
    };
    let mut tasks = JoinSet::new();
    read_intake(candidate, &progress, &mut tasks).await;
    tasks.spawn_local(follow_intake(candidate.clone(), Rc::clone(&progress), loaded.intake));
    tasks.spawn_local(follow_endpoints(
        candidate.clone(),
        Rc::clone(&progress),
        loaded.endpoints,
    ));
    tasks.spawn_local(follow_offers(candidate.clone(), Rc::clone(&progress)));
    candidate.hints.set_leader(candidate.hints.address());
    tasks.spawn_local(follow_hints(candidate.clone(), Rc::clone(&progress)));
    tasks.spawn_local(watch_strain(Rc::clone(&progress)));
    main_loop(candidate, &progress, seat, &mut tasks).await;
    candidate.metrics.fence.set(0);
    tasks.shutdown().await;
    log::info!(fence = progress.fence; "no longer leads");
}

/// Versions from which the feeds go on.
struct Loaded {
    intake: u64,
    endpoints: u64,
}

async fn load<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Progress) -> Result<Loaded, StoreError>
where
    R: Rows,
    E: Entries,
{
    let rows = &candidate.rows;
    let learned = Range::one(LEARNED, ONLY);
    // Nobody else writes these rows any more, so that they need not be read one after another.
    let (jobs, phases, records, endpoints, learned) = tokio::try_join!(
        rows.read_all(Range::all(JOB)),
        rows.read_all(Range::all(PHASE)),
        rows.read_all(Range::all(RECORD)),
        rows.read_all(Range::all(candidate.entries.endpoint_table())),
        rows.read(&learned),
    )?;
    let now = candidate.clock.now();
    let mut dispatcher = progress.dispatcher.borrow_mut();
    if let Some(value) = learned.rows.first().and_then(|row| row.value.as_deref()) {
        match Learned::decode(value) {
            Ok(learned) => dispatcher.restore(&learned),
            Err(error) => log::warn!(error:% = error; "what a former leader learned is unreadable"),
        }
    }
    if let Some(policy) = candidate.view.policy() {
        dispatcher.configure(policy);
    }
    for row in &endpoints.rows {
        endpoint(candidate, &mut dispatcher, row, now);
    }
    let phases = values(&phases);
    let records = values(&records);
    for row in &jobs.rows {
        progress.known.borrow_mut().insert(Arc::clone(&row.key));
        let phase = phases
            .get(&*row.key)
            .and_then(|value| decode_phase(value))
            .map_or(Phase::Queued, |(phase, _)| phase);
        if phase.is_final() {
            continue;
        }
        let record = records
            .get(&*row.key)
            .and_then(|value| match JobRecord::decode(*value) {
                Ok(record) => Some(record),
                Err(error) => {
                    log::error!(job:% = row.key, error:% = error; "stored record of a job is unreadable");
                    None
                }
            });
        let record = record.unwrap_or_default();
        submitted(&mut dispatcher, row, Some(&record), phase, now);
    }
    log::info!(jobs = dispatcher.jobs().len(), endpoints = dispatcher.endpoints().len(); "has read what is stored");
    Ok(Loaded {
        intake: jobs.version,
        endpoints: endpoints.version,
    })
}

fn values(page: &Page) -> BTreeMap<&str, &[u8]> {
    page.rows
        .iter()
        .filter_map(|row| Some((&*row.key, row.value.as_deref()?)))
        .collect()
}

fn submitted(dispatcher: &mut Dispatcher, row: &Row, record: Option<&JobRecord>, phase: Phase, now: u64) {
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

fn endpoint<R, O, E>(candidate: &Candidate<R, O, E>, dispatcher: &mut Dispatcher, row: &Row, now: u64)
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
    dispatcher.endpoint(&row.key, entry, now);
}

/// Reads what was accepted. A store that is down in part may withhold some partitions; the jobs of the others, and those
/// that a former leader has taken in, do not wait for them.
async fn read_intake<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Rc<Progress>, tasks: &mut JoinSet<()>)
where
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

async fn follow_intake<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>, mut version: u64)
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

async fn follow_endpoints<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>, mut version: u64)
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
async fn follow_offers<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>)
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
async fn follow_hints<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>)
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

async fn read_hinted<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Progress, key: &str)
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

/// Measures whether this process gets the processor in time.
async fn watch_strain(progress: Rc<Progress>) {
    loop {
        let from = progress.clock.now();
        sleep(Duration::from_millis(LOOK_MS)).await;
        let late = progress.clock.now().saturating_sub(from + LOOK_MS);
        let mut strain = progress.strain.get();
        strain.look(late);
        progress.strain.set(strain);
    }
}

async fn pause(what: &str, error: &StoreError) {
    log::warn!(what, error:% = error; "cannot follow the store");
    sleep(DECLINED_PAUSE).await;
}

async fn main_loop<R, O, E>(
    candidate: &Candidate<R, O, E>,
    progress: &Rc<Progress>,
    mut seat: Seat,
    tasks: &mut JoinSet<()>,
) where
    R: Rows,
    O: Orders,
    E: Entries,
{
    let mut beats = 0;
    let mut write_due = 0;
    let mut beat_due = 0;
    let mut metrics_due = 0;
    let mut releasing = false;
    let mut pending = BTreeMap::new();
    let mut pending_due = 0;
    let mut learned_due = candidate.clock.now() + LEARNED_MS;
    let mut writing: JoinSet<(Snapshot, Result<u64, StoreError>)> = JoinSet::new();
    while !progress.deposed.get() {
        let successor = progress.successor.borrow().clone();
        let stopping = candidate.stop.is_stopping() || successor.is_some();
        if stopping {
            progress.dispatcher.borrow_mut().pause();
        }
        let now = candidate.clock.now();
        if let Some(policy) = candidate.view.policy() {
            progress.dispatcher.borrow_mut().configure(policy);
        }
        // The statement ends the borrow before orders are spawned.
        let effects = progress.dispatcher.borrow_mut().step(now, wall_ms());
        for effect in effects {
            tasks.spawn_local(tend::order(Rc::clone(progress), candidate.orders.clone(), effect));
        }
        hold_endpoints(candidate, progress, tasks);
        while tasks.try_join_next().is_some() {}
        if now >= metrics_due {
            metrics_due = now + METRICS_MS;
            measure(candidate, progress, now);
        }
        if writing.is_empty() && now >= write_due {
            let snapshot = progress.dispatcher.borrow_mut().snapshot();
            let mut commit = Commit::default();
            let release = stopping && snapshot.is_none();
            if now >= beat_due || release {
                beats += 1;
                beat_due = now + candidate.timing.beat_ms;
                let beat = Beat {
                    holder: candidate.name.to_string(),
                    fence: seat.fence,
                    count: beats,
                    released: release,
                    millicores: candidate.timing.millicores,
                    successor: successor.as_deref().unwrap_or_default().to_owned(),
                    hints: candidate.hints.address().to_string(),
                    strained: progress.strain.get().is_strained(),
                };
                commit.put.push((RowKey::new(LEAD, ONLY), beat.encode_to_vec()));
            }
            if now >= pending_due {
                let counts = progress.dispatcher.borrow().pending();
                if counts != pending {
                    pending_due = now + PENDING_MS;
                    commit.put.push((RowKey::new(PENDING, ONLY), encode_pending(&counts)));
                    pending = counts;
                }
            }
            if now >= learned_due && !commit.put.is_empty() {
                learned_due = now + LEARNED_MS;
                let learned = progress.dispatcher.borrow().learned();
                commit.put.push((RowKey::new(LEARNED, ONLY), learned.encode_to_vec()));
            }
            if snapshot.is_some() || !commit.put.is_empty() {
                let snapshot = snapshot.unwrap_or_default();
                releasing = release;
                fill(&mut commit, &snapshot, &seat, candidate);
                let rows = candidate.rows.clone();
                writing.spawn_local(async move {
                    let result = rows.commit(&commit).await;
                    (snapshot, result)
                });
            }
        }
        let idle = Duration::from_millis(progress.dispatcher.borrow().idle_ms(candidate.clock.now()).max(1));
        tokio::select! {
            Some(written) = writing.join_next() => match written {
                Ok((snapshot, result)) => {
                    let renewed = result.is_ok();
                    settle(candidate, progress, &mut seat, snapshot, result).await;
                    if !renewed {
                        beat_due = 0;
                        pending.clear();
                        write_due = candidate.clock.now() + DECLINED_PAUSE.as_millis() as u64;
                    }
                    if renewed && releasing {
                        return;
                    }
                }
                Err(error) => log::error!(error:% = error; "a write ended badly"),
            },
            _ = timeout(idle, progress.wake.notified()) => {}
        }
    }
}

fn measure<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Progress, now: u64) {
    let metrics = &candidate.metrics;
    let mut dispatcher = progress.dispatcher.borrow_mut();
    let counts = dispatcher.take_counts();
    metrics.starts.inc_by(counts.starts);
    for (reason, count) in counts.ends {
        metrics.ended(&reason, count);
    }
    let jobs = dispatcher.jobs().values();
    metrics.waiting.set(
        jobs.clone()
            .filter(|job| job.phase == Phase::Queued)
            .count()
            .cast_signed() as i64,
    );
    metrics
        .running
        .set(jobs.filter(|job| job.phase == Phase::Running).count().cast_signed() as i64);
    metrics
        .endpoints
        .set(dispatcher.open_endpoints(now).cast_signed() as i64);
    metrics.doubts.set(dispatcher.doubts().cast_signed() as i64);
    metrics.fence.set(progress.fence.cast_signed());
}

fn hold_endpoints<R, O, E>(candidate: &Candidate<R, O, E>, progress: &Rc<Progress>, tasks: &mut JoinSet<()>)
where
    O: Orders,
{
    if !progress.reigns() {
        return;
    }
    let dispatcher = progress.dispatcher.borrow();
    for (name, endpoint) in dispatcher.endpoints() {
        if !endpoint.wants_hold() || endpoint.entry.address.is_empty() {
            continue;
        }
        if !progress.held.borrow_mut().insert(Arc::clone(name)) {
            continue;
        }
        tasks.spawn_local(tend::hold(
            Rc::clone(progress),
            candidate.orders.clone(),
            Arc::clone(name),
        ));
    }
}

/// Adds the rows of a snapshot and the condition that this leader still leads.
fn fill<R, O, E>(commit: &mut Commit, snapshot: &Snapshot, seat: &Seat, candidate: &Candidate<R, O, E>) {
    let entry = candidate.ledger(seat.fence);
    commit.expect.push((RowKey::new(LEDGER, ONLY), seat.version));
    commit.put.push((RowKey::new(LEDGER, ONLY), entry.encode_to_vec()));
    for write in &snapshot.jobs {
        if let Some(submission) = &write.submission {
            let key = RowKey::new(JOB, Arc::clone(&write.id));
            commit.put.push((key, submission.encode_to_vec()));
        }
        let phase = encode_phase(write.phase, &write.team);
        commit.put.push((RowKey::new(PHASE, Arc::clone(&write.id)), phase));
        commit
            .put
            .push((RowKey::new(RECORD, Arc::clone(&write.id)), write.record.encode_to_vec()));
    }
}

async fn settle<R, O, E>(
    candidate: &Candidate<R, O, E>,
    progress: &Progress,
    seat: &mut Seat,
    snapshot: Snapshot,
    result: Result<u64, StoreError>,
) where
    R: Rows,
{
    let now = candidate.clock.now();
    match result {
        Ok(version) => {
            seat.version = version;
            progress.renewed.set(now);
            progress.dispatcher.borrow_mut().stored(snapshot, now);
        }
        Err(StoreError::Conflict(_)) => {
            progress.dispatcher.borrow_mut().unstored(snapshot);
            match read_ledger(&candidate.rows).await {
                Ok(Some((entry, version))) if entry == candidate.ledger(seat.fence) => {
                    // A write without an answer has been carried out.
                    seat.version = version;
                }
                Ok(_) => progress.depose("another instance has written the ledger"),
                Err(error) => log::warn!(error:% = error; "cannot read the ledger"),
            }
        }
        Err(error) => {
            log::warn!(error:% = error, jobs = snapshot.jobs.len(), starts = snapshot.starts.len(); "cannot store decisions");
            progress.dispatcher.borrow_mut().unstored(snapshot);
        }
    }
}

/// The ledger row and its version; `None` if there is none.
pub(super) async fn read_ledger<R>(rows: &R) -> Result<Option<(LedgerEntry, u64)>, StoreError>
where
    R: Rows,
{
    let page = rows.read(&Range::one(LEDGER, ONLY)).await?;
    let Some(row) = page.rows.first() else { return Ok(None) };
    let value = row.value.as_deref().unwrap_or_default();
    let entry = LedgerEntry::decode(value).map_err(|error| StoreError::Unreadable(error.to_string()))?;
    Ok(Some((entry, row.version)))
}

/// Content of the row that holds the number of waiting jobs.
fn encode_pending(counts: &BTreeMap<Arc<str>, u64>) -> Vec<u8> {
    let mut text = String::new();
    for (queue, count) in counts {
        text += &[queue, "\t", &count.to_string(), "\n"].concat();
    }
    text.into_bytes()
}
