//! Work of the leader, from the takeover until it releases or loses leadership.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prost::Message;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::cleanup::{forget_removed_jobs, remove_expired_jobs};
use super::election::Takeover;
use super::feeds::{
    follow_endpoints, follow_hints, follow_intake, follow_offers, read_intake, submit_from_row,
    update_endpoint_from_row,
};
use super::load::Activity;
use super::overload::SAMPLE_INTERVAL_MS;
use super::state::LeaderState;
use super::tables::{BOUNDS, JOB, LEARNED, LEDGER, PHASE, RECORD, decode_phase};
use super::transaction::{Transaction, TransactionBuilder};
use super::withdrawals::remove_expired_withdrawals;
use super::{Candidate, LedgerEntry, StoredBounds, orders};
use crate::dispatch::{Dispatcher, Learned, Snapshot};
use crate::graph::{JobRecord, Phase};
use crate::net::wall_ms;
use crate::port::{EntryDecoder, Orders, Page, Range, RowStore, StoreError};

/// Key of the row of a table with a single row; in [`LEAD`](super::LEAD) the key of the leader's heartbeat.
pub(super) const SINGLE_ROW_KEY: &str = "1";

/// Key of the row of [`LEAD`](super::LEAD) in which a follower offers to replace the leader.
pub(super) const OFFER_KEY: &str = "offer";

/// Pause of the leader after a failed call to the store.
pub(super) const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time between two updates of the metrics, in milliseconds; shorter than the usual scrape intervals.
const METRICS_INTERVAL_MS: u64 = 1_000;

/// Time between two log lines about the load of the leader, in milliseconds; short beside the minutes of an incident.
const LOAD_LOG_INTERVAL_MS: u64 = 10_000;

/// Version of the ledger row as the leader last wrote it, which its next transaction expects.
#[derive(Debug, Clone)]
pub(super) struct LedgerVersion {
    /// Fencing token.
    pub fence: u64,
    /// Version of the ledger row.
    pub version: u64,
}

/// Leads until leadership is lost, or released because the instance stops or a larger one is to lead; `confirmed_at` is
/// a time before the takeover was sent.
pub(super) async fn lead<R, O, E>(candidate: &Candidate<R, O, E>, takeover: Takeover, confirmed_at: u64)
where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    let Takeover { ledger, former_sent_at } = takeover;
    let now = candidate.clock.now();
    let former_confirmed_ms_ago = former_sent_at.map(|at| now.saturating_sub(at));
    log::info!(fence = ledger.fence, former_confirmed_ms_ago:?; "became leader");
    let mut dispatcher = Dispatcher::new(candidate.tuning.clone(), now);
    if let Some(at) = former_sent_at {
        dispatcher.restore_confirmation(at);
    }
    let state = LeaderState::new(
        dispatcher,
        ledger.fence,
        candidate.clock,
        confirmed_at,
        Rc::clone(&candidate.metrics),
    );
    let versions = loop {
        if candidate.stop.is_stopping() {
            return;
        }
        match load_state(candidate, &state).await {
            Ok(versions) => break versions,
            Err(error) => log::warn!(error:% = error; "cannot load the stored state"),
        }
        sleep(STORE_RETRY_PAUSE).await;
    };
    let mut tasks = JoinSet::new();
    read_intake(candidate, &state, &mut tasks).await;
    tasks.spawn_local(follow_intake(candidate.clone(), Rc::clone(&state), versions.intake));
    tasks.spawn_local(follow_endpoints(
        candidate.clone(),
        Rc::clone(&state),
        versions.endpoints,
    ));
    tasks.spawn_local(follow_offers(candidate.clone(), Rc::clone(&state)));
    tasks.spawn_local(remove_expired_jobs(candidate.clone(), Rc::clone(&state)));
    tasks.spawn_local(remove_expired_withdrawals(candidate.clone()));
    candidate.hints.set_leader(candidate.hints.address());
    tasks.spawn_local(follow_hints(candidate.clone(), Rc::clone(&state)));
    tasks.spawn_local(monitor_overload(Rc::clone(&state)));
    main_loop(candidate, &state, ledger, &mut tasks).await;
    candidate.metrics.fence.set(0);
    candidate.metrics.lead_confirmed_age_ms.set(0);
    candidate.metrics.jobs_unstored.set(0);
    tasks.shutdown().await;
    log::info!(fence = state.fence(); "no longer leader");
}

/// Store versions after which the change feeds of the tables continue.
struct FeedVersions {
    intake: u64,
    endpoints: u64,
}

async fn load_state<R, O, E>(candidate: &Candidate<R, O, E>, state: &LeaderState) -> Result<FeedVersions, StoreError>
where
    R: RowStore,
    E: EntryDecoder,
{
    let rows = &candidate.rows;
    let learned = Range::one(LEARNED, SINGLE_ROW_KEY);
    let bounds = Range::one(BOUNDS, SINGLE_ROW_KEY);
    let sent_at = candidate.clock.now();
    // Former leaders can no longer write these rows, so the reads may run concurrently.
    let (jobs, phases, records, endpoints, learned, bounds) = tokio::try_join!(
        rows.read_all(Range::all(JOB)),
        rows.read_all(Range::all(PHASE)),
        rows.read_all(Range::all(RECORD)),
        rows.read_all(Range::all(candidate.entries.endpoint_table())),
        rows.read(&learned),
        rows.read(&bounds),
    )?;
    let now = candidate.clock.now();
    let mut dispatcher = state.dispatcher.borrow_mut();
    if let Some(value) = learned.rows.first().and_then(|row| row.value.as_deref()) {
        match Learned::decode(value) {
            Ok(learned) => dispatcher.restore(&learned),
            Err(error) => log::warn!(error:% = error; "cannot decode the estimates of the former leader"),
        }
    }
    state.store_clock.set(Some((bounds.clock_ms, sent_at)));
    if let Some(value) = bounds.rows.first().and_then(|row| row.value.as_deref()) {
        match StoredBounds::decode(value) {
            Ok(stored) => {
                let (restored, common_end) = state.restored_bounds(&stored, bounds.clock_ms, now);
                let others_end_in_ms = common_end.map(|end| end.saturating_sub(now));
                log::info!(fence = stored.fence, stored = stored.bounds.len(), usable = restored.len(), others_end_in_ms:?; "read the lease bounds of the former leader");
                dispatcher.restore_lease_bounds(restored);
                if let Some(common_end) = common_end {
                    dispatcher.restore_common_bound(common_end);
                }
            }
            Err(error) => log::warn!(error:% = error; "cannot decode the bounds of leases of the former leader"),
        }
    }
    if let Some(config) = candidate.view.config() {
        dispatcher.configure(config);
    }
    dispatcher.close_domains(candidate.view.evacuations());
    for row in &endpoints.rows {
        update_endpoint_from_row(candidate, state, &mut dispatcher, row, now);
    }
    let phases = values_by_key(&phases);
    let records = values_by_key(&records);
    for row in &jobs.rows {
        state.known_jobs.borrow_mut().insert(Arc::clone(&row.key));
        let (phase, record) = (phases.get(&*row.key).copied(), records.get(&*row.key).copied());
        let Some((phase, record)) = decode_state(&row.key, phase, record) else {
            continue;
        };
        if phase.is_final() {
            state.ended_jobs.borrow_mut().add(&row.key, now);
            continue;
        }
        submit_from_row(&mut dispatcher, row, Some(&record), phase, now);
    }
    log::info!(jobs = dispatcher.jobs().len(), endpoints = dispatcher.endpoints().len(); "loaded the stored state");
    Ok(FeedVersions {
        intake: jobs.version,
        endpoints: endpoints.version,
    })
}

/// Phase and record of a job, from the values of its rows. `None` if they cannot be decoded: the job may have started or
/// ended, so it must not be taken for a new one.
fn decode_state(id: &Arc<str>, phase: Option<&[u8]>, record: Option<&[u8]>) -> Option<(Phase, JobRecord)> {
    let Some((phase, _)) = phase.map_or(Some((Phase::Queued, "")), decode_phase) else {
        log::error!(job:% = id; "cannot decode the stored phase of a job; it is not resumed");
        return None;
    };
    if phase.is_final() {
        return Some((phase, JobRecord::default()));
    }
    match JobRecord::decode(record.unwrap_or_default()) {
        Ok(record) => Some((phase, record)),
        Err(error) => {
            log::error!(job:% = id, error:% = error; "cannot decode the stored record of a job; it is not resumed");
            None
        }
    }
}

fn values_by_key(page: &Page) -> BTreeMap<&str, &[u8]> {
    page.rows
        .iter()
        .filter_map(|row| Some((&*row.key, row.value.as_deref()?)))
        .collect()
}

async fn main_loop<R, O, E>(
    candidate: &Candidate<R, O, E>,
    state: &Rc<LeaderState>,
    mut ledger: LedgerVersion,
    tasks: &mut JoinSet<()>,
) where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    let mut commit_due = 0;
    let mut metrics_due = 0;
    let mut load_log_due = candidate.clock.now() + LOAD_LOG_INTERVAL_MS;
    let mut builder = TransactionBuilder::new(candidate.clock.now());
    let mut commits: JoinSet<Result<u64, StoreError>> = JoinSet::new();
    // Kept outside of its task, so that its changes are not lost if the task panics.
    let mut under_way: Option<Transaction> = None;
    while !state.leadership_lost.get() {
        if state.should_hand_over(candidate.stop.is_stopping()) {
            state.dispatcher.borrow_mut().pause();
        }
        let now = candidate.clock.now();
        if let Some(config) = candidate.view.config() {
            state.dispatcher.borrow_mut().configure(config);
        }
        state
            .dispatcher
            .borrow_mut()
            .close_domains(candidate.view.evacuations());
        // A statement of its own, so that the borrow ends before orders are spawned.
        let begun = Instant::now();
        let effects = state
            .load
            .time(Activity::Round, || state.dispatcher.borrow_mut().step(now, wall_ms()));
        state.dispatcher.borrow_mut().record_step_time(begun.elapsed(), now);
        for effect in effects {
            tasks.spawn_local(orders::send_order(Rc::clone(state), candidate.orders.clone(), effect));
        }
        start_hold_loops(candidate, state, tasks);
        while tasks.try_join_next().is_some() {}
        if now >= metrics_due {
            metrics_due = now + METRICS_INTERVAL_MS;
            update_metrics(candidate, state, now);
        }
        if now >= load_log_due {
            load_log_due = now + LOAD_LOG_INTERVAL_MS;
            state.load.log();
        }
        if commits.is_empty()
            && now >= commit_due
            && let Some(mut transaction) = state
                .load
                .time(Activity::Commit, || builder.build(candidate, state, &ledger, now))
        {
            let (rows, commit) = (candidate.rows.clone(), std::mem::take(&mut transaction.commit));
            commits.spawn_local(async move { rows.commit(&commit).await });
            under_way = Some(transaction);
        }
        let idle = Duration::from_millis(state.dispatcher.borrow().ms_until_step(candidate.clock.now()).max(1));
        tokio::select! {
            Some(joined) = commits.join_next() => {
                let Some(transaction) = under_way.take() else { continue };
                let result = joined.unwrap_or_else(|error| Err(StoreError::Unknown(error.to_string())));
                let committed = result.is_ok();
                if committed {
                    state.confirmed_at.set(transaction.sent_at);
                    forget_removed_jobs(candidate, state, transaction.removed_jobs, tasks);
                } else {
                    state.jobs_to_remove.borrow_mut().extend(transaction.removed_jobs);
                    builder.mark_failed();
                    commit_due = candidate.clock.now() + STORE_RETRY_PAUSE.as_millis() as u64;
                }
                apply_commit_result(candidate, state, &mut ledger, transaction.snapshot, result).await;
                if committed && transaction.releases_leadership {
                    return;
                }
            }
            _ = timeout(idle, state.wake.notified()) => {}
        }
    }
}

/// Measures how late timers fire, which shows whether this process is short of processor time.
async fn monitor_overload(state: Rc<LeaderState>) {
    loop {
        let started_at = state.clock.now();
        sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
        let delay_ms = state.clock.now().saturating_sub(started_at + SAMPLE_INTERVAL_MS);
        let mut overload = state.overload.get();
        overload.add_sample(delay_ms);
        state.overload.set(overload);
        state.load.record_timer_delay(Duration::from_millis(delay_ms));
    }
}

fn update_metrics<R, O, E>(candidate: &Candidate<R, O, E>, state: &LeaderState, now: u64) {
    let metrics = &candidate.metrics;
    let mut dispatcher = state.dispatcher.borrow_mut();
    let counts = dispatcher.take_counts();
    metrics.starts.inc_by(counts.starts);
    metrics.claims.inc_by(counts.claims_made);
    metrics.claims_dropped.inc_by(counts.claims_dropped);
    metrics.repeated_stops.inc_by(counts.repeated_stops);
    metrics.advice_failed.inc_by(counts.advice_failed);
    metrics.advice_unused.inc_by(counts.advice_unused);
    metrics.tickets_refused.inc_by(counts.tickets_refused);
    for time in counts.advice_times {
        metrics.record_advice(time);
    }
    for (reason, count) in counts.ends {
        metrics.count_run_ends(&reason, count);
    }
    for (reason, count) in counts.unmatched_done {
        metrics.count_unmatched_done(reason, count);
    }
    let jobs = dispatcher.jobs().values();
    metrics.jobs_waiting.set(
        jobs.clone()
            .filter(|job| job.phase == Phase::Queued)
            .count()
            .cast_signed() as i64,
    );
    metrics
        .jobs_running
        .set(jobs.filter(|job| job.phase == Phase::Running).count().cast_signed() as i64);
    metrics
        .endpoints_open
        .set(dispatcher.open_endpoints(now).cast_signed() as i64);
    metrics
        .interfering_pairs
        .set(dispatcher.interfering_pairs().cast_signed() as i64);
    metrics.large_task_peak.set(dispatcher.large_task_peak().round() as i64);
    metrics
        .orders_in_doubt
        .set(dispatcher.orders_in_doubt().cast_signed() as i64);
    metrics
        .jobs_unstored
        .set(dispatcher.unstored_jobs().cast_signed() as i64);
    metrics
        .lead_confirmed_age_ms
        .set(now.saturating_sub(state.confirmed_at.get()).cast_signed());
    metrics.fence.set(dispatcher.fence().cast_signed());
}

fn start_hold_loops<R, O, E>(candidate: &Candidate<R, O, E>, state: &Rc<LeaderState>, tasks: &mut JoinSet<()>)
where
    O: Orders,
{
    if !state.is_leadership_confirmed() {
        return;
    }
    let now = state.clock.now();
    let dispatcher = state.dispatcher.borrow();
    for (name, endpoint) in dispatcher.endpoints() {
        let Some(fence) = endpoint.fence.filter(|_| endpoint.wants_hold(now)) else {
            continue;
        };
        if endpoint.entry.address.is_empty() || !state.held_endpoints.borrow_mut().insert((Arc::clone(name), fence)) {
            continue;
        }
        tasks.spawn_local(orders::hold_endpoint(
            Rc::clone(state),
            candidate.orders.clone(),
            Arc::clone(name),
            fence,
        ));
    }
}

async fn apply_commit_result<R, O, E>(
    candidate: &Candidate<R, O, E>,
    state: &LeaderState,
    ledger: &mut LedgerVersion,
    snapshot: Snapshot,
    result: Result<u64, StoreError>,
) where
    R: RowStore,
{
    let now = candidate.clock.now();
    match result {
        Ok(version) => {
            ledger.version = version;
            ledger.fence += u64::from(snapshot.raises_fence);
            for job in &snapshot.jobs {
                if job.phase.is_final() {
                    state.ended_jobs.borrow_mut().add(&job.id, now);
                }
            }
            state
                .load
                .time(Activity::Commit, || state.dispatcher.borrow_mut().stored(snapshot, now));
            state.stored.notify_waiters();
        }
        Err(StoreError::Conflict(_)) => {
            state.dispatcher.borrow_mut().store_declined(snapshot);
            match read_ledger(&candidate.rows).await {
                Ok(LedgerPage {
                    row: Some((entry, version)),
                    ..
                }) if candidate.wrote(&entry) => {
                    // An earlier transaction of this leader, whose result was unknown, has been applied. It may have
                    // raised the fencing token.
                    ledger.version = version;
                    ledger.fence = entry.fence;
                    state.dispatcher.borrow_mut().raise_fence(entry.fence, now);
                }
                Ok(_) => state.lose_leadership("another instance has written the ledger row"),
                Err(error) => log::warn!(error:% = error; "cannot read the ledger row"),
            }
        }
        Err(error) => {
            log::warn!(error:% = error, jobs = snapshot.jobs.len(), starts = snapshot.starts.len(); "cannot store scheduling decisions");
            let mut dispatcher = state.dispatcher.borrow_mut();
            match error {
                StoreError::Declined(_) => dispatcher.store_declined(snapshot),
                _ => dispatcher.store_failed(snapshot),
            }
        }
    }
}

/// The ledger row as of a read.
pub(super) struct LedgerPage {
    /// The row and its version; `None` if there is none.
    pub row: Option<(LedgerEntry, u64)>,
    /// Clock of the store at the time of the read, in milliseconds.
    pub clock_ms: u64,
}

/// Reads the ledger row.
pub(super) async fn read_ledger<R>(rows: &R) -> Result<LedgerPage, StoreError>
where
    R: RowStore,
{
    let page = rows.read(&Range::one(LEDGER, SINGLE_ROW_KEY)).await?;
    let clock_ms = page.clock_ms;
    let Some(row) = page.rows.first() else {
        return Ok(LedgerPage { row: None, clock_ms });
    };
    let value = row.value.as_deref().unwrap_or_default();
    let entry = LedgerEntry::decode(value).map_err(|error| StoreError::Unreadable(error.to_string()))?;
    Ok(LedgerPage {
        row: Some((entry, row.version)),
        clock_ms,
    })
}
