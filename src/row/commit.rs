//! Commits that resolve a lost answer, and scans over all pages.

use crate::platform::{Key, Row, Table, TableError, Txn, Version};

/// Commits a transaction. If its answer is lost, the first row that it puts is read back: the transaction's identifier
/// in that row proves that it was applied. Any other content proves nothing, since the request may still be in flight,
/// and the error is returned. The caller may then send a new transaction with the same checks, because at most one of
/// the two can pass them.
pub fn commit(table: &dyn Table, txn: &Txn) -> Result<Version, TableError> {
    let lost = match table.commit(txn) {
        Err(error) if !error.is_unwritten() => error,
        other => return other,
    };
    let Some(put) = txn.puts.iter().find(|put| put.value.is_some()) else {
        return Err(lost);
    };
    match table.read(std::slice::from_ref(&put.key)) {
        Ok(rows) => match rows.into_iter().flatten().next() {
            Some(row) if row.op == txn.op => Ok(row.version),
            _ => Err(lost),
        },
        Err(_) => Err(lost),
    }
}

/// Most rows that [`scan_all`] requests at a time.
const PAGE_ROWS: usize = 512;

/// Reads all rows whose keys start with `prefix` and sort after `after`, page by page. The pages do not form a snapshot.
pub fn scan_all(table: &dyn Table, prefix: &str, after: Option<Key>) -> Result<Vec<Row>, TableError> {
    let mut rows = Vec::new();
    let mut after = after;
    loop {
        let page = table.scan(prefix, after.as_deref(), PAGE_ROWS)?;
        rows.extend(page.rows);
        match page.next {
            Some(key) => after = Some(key),
            None => return Ok(rows),
        }
    }
}
