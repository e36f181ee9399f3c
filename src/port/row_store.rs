//! The store of rows.

use std::time::Duration;

use super::{Changes, Commit, Page, Range, StoreError};

/// Store that keeps all that must last.
pub trait RowStore: Clone + 'static {
    /// Applies a transaction and returns the version of its rows.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads rows as of one moment.
    fn read(&self, range: &Range) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits at most `wait` for changes of a table after a version.
    fn changes(&self, table: &str, after: u64, wait: Duration) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads a whole range, page by page. The version is that of the first page, so that a feed from it misses nothing.
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
