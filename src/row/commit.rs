//! Commits whose lost answer is looked for.

use crate::platform::{Key, Row, Table, TableError, Txn, Version};

/// Carries out a transaction. If its answer is lost, reads the first row that it puts: a row with the transaction's
/// identifier proves that it was applied. Any other content proves nothing, since the request may still be under way;
/// the error stays [`TableError::Unknown`]. A caller may send a new transaction with the same checks, because at most
/// one of the two can pass them.
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

/// Rows that one scan asks for at a time.
const PAGE_ROWS: usize = 512;

/// All rows whose keys start with `prefix` and lie after `after`, page by page. The pages are not one snapshot.
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
