//! Removes what ended long ago.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Candidate;
use super::feeds::read_hinted;
use super::state::Progress;
use super::tables::{CANCEL_SUFFIX, INTAKE, intake_partition};
use crate::port::{Commit, Entries, Orders, RowKey, Rows};

/// Pause between two looks for rows that may go; a batch each time keeps up with ten jobs a second.
const CLEAN_UP_PAUSE: Duration = Duration::from_secs(3);

/// Removes the rows of jobs that have ended long ago, so that a takeover reads what is open and not all that ever was.
///
/// The caller's rows go first: a job without a row of the leader would be taken for a new one and run again.
pub(super) async fn clean_up<R, O, E>(candidate: Candidate<R, O, E>, progress: Rc<Progress>)
where
    R: Rows,
{
    loop {
        sleep(CLEAN_UP_PAUSE).await;
        let now = candidate.clock.now();
        // The transaction of the last batch is not through yet.
        if !progress.leaving.borrow().is_empty() {
            continue;
        }
        let due = progress.retired.borrow_mut().take(candidate.timing.retention_ms, now);
        let mut partitions: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
        for id in due {
            partitions.entry(intake_partition(&id)).or_default().push(id);
        }
        for (partition, ids) in partitions {
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
                Ok(_) => {
                    log::info!(jobs = ids.len(); "removes jobs that ended long ago");
                    progress.leaving.borrow_mut().extend(ids);
                    progress.wake.notify_one();
                }
                Err(error) => {
                    log::warn!(error:% = error, jobs = ids.len(); "cannot remove jobs that ended long ago");
                    let mut retired = progress.retired.borrow_mut();
                    for id in &ids {
                        retired.add(id, now);
                    }
                }
            }
        }
    }
}

/// Time after which no read is under way that may still show a row that was removed; longer than any call to the store.
const FORGET_PAUSE: Duration = Duration::from_secs(5);

/// Forgets jobs whose rows are gone. An id that was used again meanwhile names a new job, which the feed has told of in vain.
pub(super) fn forget<R, O, E>(
    candidate: &Candidate<R, O, E>,
    progress: &Rc<Progress>,
    gone: Vec<Arc<str>>,
    tasks: &mut JoinSet<()>,
) where
    R: Rows,
    O: Orders,
    E: Entries,
{
    for id in gone {
        let (candidate, progress) = (candidate.clone(), Rc::clone(progress));
        tasks.spawn_local(async move {
            sleep(FORGET_PAUSE).await;
            progress.known.borrow_mut().remove(&id);
            read_hinted(&candidate, &progress, &id).await;
        });
    }
}
