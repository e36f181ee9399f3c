//! A reign: from the takeover until the lead is given up or lost.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::cleanup::{clean_up, forget};
use super::feeds::{endpoint, follow_endpoints, follow_hints, follow_intake, follow_offers, read_intake, submitted};
use super::overload::LOOK_MS;
use super::state::Progress;
use super::tables::{JOB, LEARNED, LEDGER, PHASE, RECORD, decode_phase};
use super::transaction::{Write, Writes};
use super::{Candidate, LedgerEntry, orders};
use crate::dispatch::{Dispatcher, Learned, Snapshot};
use crate::graph::{JobRecord, Phase};
use crate::net::wall_ms;
use crate::port::{Entries, Orders, Page, Range, Rows, StoreError};

/// Key of the only row of a table that has one; in [`LEAD`] that of the leader's sign of life.
pub(super) const ONLY: &str = "1";

/// Key of the row of [`LEAD`] in which an instance offers to lead.
pub(super) const OFFER: &str = "offer";

/// Pause after the store declined a call.
pub(super) const DECLINED_PAUSE: Duration = Duration::from_millis(150);

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
    tasks.spawn_local(clean_up(candidate.clone(), Rc::clone(&progress)));
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
            progress.retired.borrow_mut().add(&row.key, now);
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
    let mut write_due = 0;
    let mut metrics_due = 0;
    let mut writes = Writes::new(candidate.clock.now());
    let mut writing: JoinSet<(Write, Result<u64, StoreError>)> = JoinSet::new();
    while !progress.deposed.get() {
        if progress.gives_way(candidate.stop.is_stopping()) {
            progress.dispatcher.borrow_mut().pause();
        }
        let now = candidate.clock.now();
        if let Some(policy) = candidate.view.policy() {
            progress.dispatcher.borrow_mut().configure(policy);
        }
        // The statement ends the borrow before orders are spawned.
        let effects = progress.dispatcher.borrow_mut().step(now, wall_ms());
        for effect in effects {
            tasks.spawn_local(orders::order(Rc::clone(progress), candidate.orders.clone(), effect));
        }
        hold_endpoints(candidate, progress, tasks);
        while tasks.try_join_next().is_some() {}
        if now >= metrics_due {
            metrics_due = now + METRICS_MS;
            measure(candidate, progress, now);
        }
        if writing.is_empty()
            && now >= write_due
            && let Some(write) = writes.compose(candidate, progress, &seat, now)
        {
            let rows = candidate.rows.clone();
            writing.spawn_local(async move {
                let result = rows.commit(&write.commit).await;
                (write, result)
            });
        }
        let idle = Duration::from_millis(progress.dispatcher.borrow().ms_until_step(candidate.clock.now()).max(1));
        tokio::select! {
            Some(written) = writing.join_next() => match written {
                Ok((write, result)) => {
                    let renewed = result.is_ok();
                    if renewed {
                        forget(candidate, progress, write.leaving, tasks);
                    } else {
                        progress.leaving.borrow_mut().extend(write.leaving);
                        writes.failed();
                        write_due = candidate.clock.now() + DECLINED_PAUSE.as_millis() as u64;
                    }
                    settle(candidate, progress, &mut seat, write.snapshot, result).await;
                    if renewed && write.releases {
                        return;
                    }
                }
                Err(error) => log::error!(error:% = error; "a write ended badly"),
            },
            _ = timeout(idle, progress.wake.notified()) => {}
        }
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
    metrics.doubts.set(dispatcher.orders_in_doubt().cast_signed() as i64);
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
        tasks.spawn_local(orders::hold(
            Rc::clone(progress),
            candidate.orders.clone(),
            Arc::clone(name),
        ));
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
            for write in &snapshot.jobs {
                if write.phase.is_final() {
                    progress.retired.borrow_mut().add(&write.id, now);
                }
            }
            progress.dispatcher.borrow_mut().stored(snapshot, now);
        }
        Err(StoreError::Conflict(_)) => {
            progress.dispatcher.borrow_mut().store_failed(snapshot);
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
            progress.dispatcher.borrow_mut().store_failed(snapshot);
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
