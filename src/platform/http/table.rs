//! The table over HTTP.

use super::Timeouts;
use super::client::{Client, SendError};
use super::commit_status::{CommitStatus, commit_status, keys_of};
use super::wire::{CommitReply, ErrorCode, ReadBody, ReadReply, ScanBody};
use crate::platform::{Address, Key, Page, Row, Table, TableError, Txn, Version};

/// The table over HTTP.
#[derive(Debug)]
pub struct HttpTable {
    address: Address,
    client: Client,
}

impl HttpTable {
    /// Creates a client for the table at this address.
    pub fn new(address: Address, timeouts: Timeouts) -> Self {
        Self {
            address,
            client: Client::new(timeouts),
        }
    }

    fn send_commit(&self, txn: &Txn) -> Result<Version, TableError> {
        let reply: CommitReply = self
            .client
            .exchange(self.address, "/v1/table/commit", txn)
            .map_err(commit_error)?;
        Ok(reply.version)
    }

    /// Resolves a transaction whose answer was lost. If it has not been applied but still can be, it is sent once more:
    /// its checks on rows that it also writes prevent that both copies are applied.
    fn resolve(&self, txn: &Txn, reason: &str) -> Result<Version, TableError> {
        match self.read_status(txn, reason)? {
            CommitStatus::Applied(version) => return Ok(version),
            CommitStatus::Conflict(error) => return Err(error),
            CommitStatus::Unclear => return Err(TableError::Unknown(reason.to_owned())),
            CommitStatus::Pending => {}
        }
        let error = match self.send_commit(txn) {
            Ok(version) => return Ok(version),
            Err(error) => error,
        };
        if !matches!(error, TableError::Conflict { .. }) {
            return Err(TableError::Unknown(format!("{reason}; then {error}")));
        }
        match self.read_status(txn, reason)? {
            CommitStatus::Applied(version) => Ok(version),
            CommitStatus::Conflict(error) => Err(error),
            CommitStatus::Pending | CommitStatus::Unclear => Err(TableError::Unknown(reason.to_owned())),
        }
    }

    /// Reads back the rows of a transaction and derives its status.
    fn read_status(&self, txn: &Txn, reason: &str) -> Result<CommitStatus, TableError> {
        let keys = keys_of(txn);
        if keys.is_empty() {
            return Ok(CommitStatus::Unclear);
        }
        match self.read(&keys) {
            Ok(rows) => Ok(commit_status(txn, &keys.into_iter().zip(rows).collect())),
            Err(error) => Err(TableError::Unknown(format!("{reason}; then {error}"))),
        }
    }
}

impl Table for HttpTable {
    fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, TableError> {
        let body = ReadBody { keys: keys.to_vec() };
        let reply: ReadReply = self
            .client
            .exchange(self.address, "/v1/table/read", &body)
            .map_err(read_error)?;
        if reply.rows.len() != keys.len() {
            return Err(TableError::Format(
                "the number of rows differs from the number of keys".to_owned(),
            ));
        }
        for (key, row) in keys.iter().zip(&reply.rows) {
            if row.as_ref().is_some_and(|row| row.key != *key || row.version == 0) {
                return Err(TableError::Format(format!(
                    "the row returned for `{key}` has another key or version 0"
                )));
            }
        }
        Ok(reply.rows)
    }

    fn scan(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page, TableError> {
        let body = ScanBody {
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
            limit,
        };
        let page: Page = self
            .client
            .exchange(self.address, "/v1/table/scan", &body)
            .map_err(read_error)?;
        let mut last = after;
        for row in &page.rows {
            if !row.key.starts_with(prefix) || last.is_some_and(|last| *row.key <= *last) {
                return Err(TableError::Format(format!(
                    "row `{}` lies outside the scanned range or out of order",
                    row.key
                )));
            }
            last = Some(&row.key);
        }
        // If the next page started anywhere but after the last row of this one, a scan might never end.
        let end = page.rows.last().map(|row| &row.key);
        if page.rows.len() > limit || page.next.as_ref().is_some_and(|next| Some(next) != end) {
            return Err(TableError::Format(
                "the page exceeds the limit or does not continue after its last row".to_owned(),
            ));
        }
        Ok(page)
    }

    fn commit(&self, txn: &Txn) -> Result<Version, TableError> {
        match self.send_commit(txn) {
            Err(TableError::Unknown(reason)) => self.resolve(txn, &reason),
            result => result,
        }
    }
}

fn commit_error(error: SendError) -> TableError {
    match error {
        SendError::Unsent(reason) => TableError::Unavailable(reason),
        SendError::Lost(reason) => TableError::Unknown(reason),
        SendError::Refused(body) => match body.code {
            ErrorCode::Conflict { key, expected, found } => TableError::Conflict { key, expected, found },
            ErrorCode::Unavailable => TableError::Unavailable(body.message),
            ErrorCode::BadRequest => TableError::Format(body.message),
            _ => TableError::Unknown(body.message),
        },
    }
}

/// Maps a failed read; it has written nothing, even if its answer was lost.
fn read_error(error: SendError) -> TableError {
    match error {
        SendError::Refused(body) if body.code != ErrorCode::Unavailable => TableError::Format(body.message),
        error => TableError::Unavailable(error.to_string()),
    }
}
