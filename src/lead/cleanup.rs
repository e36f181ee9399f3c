//! Removal of rows of ended jobs after the retention time.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Candidate;
use super::feeds::read_hinted_row;
use super::state::LeaderState;
use super::tables::{CANCEL_SUFFIX, INTAKE, intake_partition};
use crate::port::{Commit, EntryDecoder, Orders, RowKey, RowStore};

/// Pause between two batches of removals; one batch each time keeps up with ten jobs a second.
const CLEANUP_PAUSE: Duration = Duration::from_secs(3);

/// Removes the rows of jobs that ended longer ago than the retention time, so that a takeover does not have to read all
/// jobs there have ever been.
///
/// The rows in the intake table are removed first: a job with an intake row and without a row of the leader would be
/// taken for a new job and run again.
pub(super) async fn remove_expired_jobs<R, O, E>(candidate: Candidate<R, O, E>, state: Rc<LeaderState>)
where
    R: RowStore,
{
    loop {
        sleep(CLEANUP_PAUSE).await;
        let now = candidate.clock.now();
        // The leader's rows of the previous batch have not been put into a transaction yet.
        if !state.jobs_to_remove.borrow().is_empty() {
            continue;
        }
        let expired = state
            .ended_jobs
            .borrow_mut()
            .take_expired(candidate.timing.retention_ms, now);
        let mut by_partition: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
        for id in expired {
            by_partition.entry(intake_partition(&id)).or_default().push(id);
        }
        for (partition, ids) in by_partition {
            let mut commit = Commit {
                partition,
                ..Commit::default()
            };
            for id in &ids {
                let cancellation = format!("{id}{CANCEL_SUFFIX}");
                commit.remove.push(RowKey::new(INTAKE, Arc::clone(id)));
                commit.remove.push(RowKey::new(INTAKE, cancellation));
            }
            match candidate.rows.commit(&commit).await {
                Ok(version) => {
                    log::info!(jobs = ids.len(); "removed intake rows of ended jobs after the retention time");
                    for id in &ids {
                        state.cancelled_jobs.borrow_mut().remove(id);
                    }
                    let removed = ids.iter().map(|id| (Arc::clone(id), version));
                    state.removed_at.borrow_mut().extend(removed);
                    state.jobs_to_remove.borrow_mut().extend(ids);
                    state.wake.notify_one();
                }
                Err(error) => {
                    log::warn!(error:% = error, jobs = ids.len(); "cannot remove intake rows of ended jobs");
                    let mut ended_jobs = state.ended_jobs.borrow_mut();
                    for id in &ids {
                        ended_jobs.add(id, now);
                    }
                }
            }
        }
    }
}

/// Delay after which only a read of several pages, or one before a freeze of the process, can still return a removed
/// row; longer than any call to the store.
const FORGET_DELAY: Duration = Duration::from_secs(5);

/// How long the versions of removals are kept after that, to recognise the rows of such reads.
const STALE_READ_MAX: Duration = Duration::from_mins(1);

/// Forgets jobs whose rows have been removed. An id that was reused meanwhile names a new job, whose change the feed
/// has reported while the id still counted as known; so its row is read here.
pub(super) fn forget_removed_jobs<R, O, E>(
    candidate: &Candidate<R, O, E>,
    state: &Rc<LeaderState>,
    removed_jobs: Vec<Arc<str>>,
    tasks: &mut JoinSet<()>,
) where
    R: RowStore,
    O: Orders,
    E: EntryDecoder,
{
    for id in removed_jobs {
        let (candidate, state) = (candidate.clone(), Rc::clone(state));
        tasks.spawn_local(async move {
            sleep(FORGET_DELAY).await;
            state.known_jobs.borrow_mut().remove(&id);
            read_hinted_row(&candidate, &state, &id).await;
            sleep(STALE_READ_MAX).await;
            state.removed_at.borrow_mut().remove(&id);
        });
    }
}
