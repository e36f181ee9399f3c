//! Removal of cancellations of unknown jobs.
//!
//! Such a cancellation is kept for longer than a submission that its caller has given up may still reach the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Candidate;
use super::tables::{WITHDRAWN, intake_partitions};
use crate::port::{Commit, Range, Row, RowKey, RowStore};

/// Longest time for which a write of a request may still be applied, and least time for which a cancellation is kept. An
/// instance sends a write to the store for 60 s at most, the longest deadline of a request, and the store may apply it some
/// seconds later.
pub(super) const LATE_WRITE_MAX: Duration = Duration::from_secs(90);

/// Most rows that one transaction removes; each takes two of the 100 entries that the store accepts in a transaction.
const REMOVED_ROWS_MAX: usize = 45;

/// Removes the rows that are older than the retention time.
///
/// A row that has not changed between two reads at that distance is that old, whatever the clocks of the instances say.
pub(super) async fn remove_expired_withdrawals<R, O, E>(candidate: Candidate<R, O, E>)
where
    R: RowStore,
{
    let mut read_at: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    loop {
        sleep(LATE_WRITE_MAX).await;
        for partition in intake_partitions() {
            let range = Range::all(WITHDRAWN).within(Arc::clone(&partition));
            let page = match candidate.rows.read_all(range).await {
                Ok(page) => page,
                Err(error) => {
                    log::warn!(partition:%, error:% = error; "cannot read the cancellations of unknown jobs");
                    continue;
                }
            };
            let before = read_at.insert(Arc::clone(&partition), page.version).unwrap_or(0);
            let expired: Vec<&Row> = page.rows.iter().filter(|row| row.version <= before).collect();
            for rows in expired.chunks(REMOVED_ROWS_MAX) {
                remove(&candidate.rows, &partition, rows).await;
            }
        }
    }
}

/// Removes rows unless one has been written again; those that stay are removed the next time.
async fn remove<R>(store: &R, partition: &Arc<str>, rows: &[&Row])
where
    R: RowStore,
{
    let mut commit = Commit {
        partition: Arc::clone(partition),
        ..Commit::default()
    };
    for row in rows {
        let key = RowKey::new(WITHDRAWN, Arc::clone(&row.key));
        commit.expect.push((key.clone(), row.version));
        commit.remove.push(key);
    }
    match store.commit(&commit).await {
        Ok(_) => log::info!(rows = rows.len(); "removed cancellations of unknown jobs after the retention time"),
        Err(error) => log::warn!(error:% = error; "cannot remove cancellations of unknown jobs"),
    }
}
