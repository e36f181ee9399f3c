//! The store of rows.

use std::time::Duration;

use super::{Changes, Commit, Page, Range, StoreError};

/// Durable store of rows.
pub trait RowStore: Clone + 'static {
    /// Applies a transaction and returns the version of its rows.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<u64, StoreError>> {
        self.commit_within(commit, Duration::MAX)
    }

    /// The same, but gives up after `time_limit`, or earlier after the store's own: with [`StoreError::Declined`] if no part
    /// of the call was sent, otherwise with [`StoreError::Unknown`].
    fn commit_within(&self, commit: &Commit, time_limit: Duration) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads a page of rows as of one version of the store.
    fn read(&self, range: &Range) -> impl Future<Output = Result<Page, StoreError>>;

    /// Returns the changes of a table after a version; waits at most `wait` for the first.
    fn changes(&self, table: &str, after: u64, wait: Duration) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads a whole range, page by page. The version is that of the first page, so that a feed that starts there misses
    /// no change.
    fn read_all(&self, mut range: Range) -> impl Future<Output = Result<Page, StoreError>> {
        async move {
            let mut all = self.read(&range).await?;
            let mut more = all.more;
            while more {
                let Some(last) = all.rows.last() else { break };
                range.from = format!("{}\u{1}", last.key).into();
                let page = self.read(&range).await?;
                more = page.more;
                all.rows.extend(page.rows);
            }
            all.more = false;
            Ok(all)
        }
    }
}
