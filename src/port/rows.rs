//! The store of rows.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use super::{Changes, Commit, Page, Range, StoreError};

/// Store that keeps all that must last.
pub trait Rows: Clone + 'static {
    /// Applies a transaction and returns the version of its rows.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads rows as of one moment.
    fn read(&self, range: &Range) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits at most `wait` for changes of a table after a version.
    fn changes(&self, table: &str, after: u64, wait: Duration) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads all rows of a table in some partitions, page by page. The version is that of the first page, so that a feed
    /// from it misses nothing.
    fn read_all<I>(&self, table: &str, partitions: I) -> impl Future<Output = Result<Page, StoreError>>
    where
        I: IntoIterator<Item = Arc<str>>,
    {
        let table = Arc::<str>::from(table);
        let reads: Vec<_> = partitions
            .into_iter()
            .map(|partition| self.read_partition(Range::all(&table).within(partition)))
            .collect();
        async move {
            let mut all: Option<Page> = None;
            // Together, so that a takeover waits for the store once and not once a partition.
            for page in join_all(reads).await {
                let page = page?;
                match &mut all {
                    None => all = Some(page),
                    Some(all) => {
                        all.version = all.version.min(page.version);
                        all.clock_ms = all.clock_ms.min(page.clock_ms);
                        all.rows.extend(page.rows);
                    }
                }
            }
            all.ok_or_else(|| StoreError::Unreadable("no partition to read".to_owned()))
        }
    }

    /// Reads a whole range, page by page; the version is that of the first page.
    fn read_partition(&self, mut range: Range) -> impl Future<Output = Result<Page, StoreError>> {
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
