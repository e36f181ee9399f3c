//! Results that the table adapter reports for transactions, in particular when the answer is lost.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use standin::sample::{check, put, remove, write};
use standin::server::{FaultKind, PlatformServer, Target};
use standin::table::MemoryTable;
use yuccaridge::platform::http::HttpTable;
use yuccaridge::platform::{Table, TableError, Txn};
use yuccaridge::time::Millis;

use crate::fixture::{self, fault, refusing_address, timeouts};
use crate::raw_server::{RawServer, Received, reply_commit, reply_read};

fn platform() -> (PlatformServer, HttpTable) {
    let platform = fixture::platform();
    let table = HttpTable::new(platform.address(), timeouts());
    (platform, table)
}

fn inject(platform: &PlatformServer, target: Target, kind: FaultKind, count: u32) {
    platform.faults().add(fault(target, kind, count));
}

/// A table that passes the first transaction to `on_first` and sends no answer to it. It serves all other requests.
fn lossy_table<F>(on_first: F) -> (RawServer, Arc<MemoryTable>, HttpTable)
where
    F: Fn(&MemoryTable, &Txn, &mut TcpStream) + Send + 'static,
{
    let memory = Arc::new(MemoryTable::default());
    let rows = Arc::clone(&memory);
    let commits = AtomicUsize::new(0);
    let server = RawServer::start(move |_, received: Received, stream| {
        if reply_read(stream, &received, &rows) {
            return;
        }
        let txn: Txn = serde_json::from_slice(&received.body).unwrap();
        if commits.fetch_add(1, Ordering::Relaxed) == 0 {
            return on_first(&rows, &txn, stream);
        }
        reply_commit(stream, rows.commit(&txn));
    });
    let table = HttpTable::new(server.address, timeouts());
    (server, memory, table)
}

#[test]
fn commits_and_conflicts_pass_through() {
    let (platform, table) = platform();
    let version = table.commit(&write("a", "job/1", 0)).unwrap();
    let conflict = table.commit(&write("b", "job/1", 0)).unwrap_err();
    let expected = TableError::Conflict {
        key: "job/1".to_owned(),
        expected: 0,
        found: version,
    };
    assert_eq!(conflict, expected);
    assert_eq!(platform.usage().commits, 1);
}

/// Guards against a transaction that is applied again because the answer to it was lost.
#[test]
fn answer_lost_after_the_write_is_found_applied() {
    let (platform, table) = platform();
    inject(&platform, Target::Commits, FaultKind::Lost, 1);
    let version = table.commit(&write("a", "job/1", 0)).unwrap();
    let row = table.read(&["job/1".to_owned()]).unwrap().remove(0).unwrap();
    assert_eq!((row.version, row.op.0.as_str()), (version, "a"));
    assert_eq!(platform.usage().commits, 1);
}

/// Guards against "not written" being reported for a lost request that may still arrive.
#[test]
fn request_cut_before_the_write_is_applied_once() {
    let (platform, table) = platform();
    inject(&platform, Target::Commits, FaultKind::Cut, 1);
    table.commit(&write("a", "job/1", 0)).unwrap();
    assert_eq!(platform.usage().commits, 1);
}

/// Guards against a transaction that is applied twice: the adapter repeats a request that is only delayed.
#[test]
fn delayed_request_is_applied_once() {
    let (platform, table) = platform();
    let by = Millis(3000);
    inject(&platform, Target::Commits, FaultKind::Delay { by }, 1);
    table.commit(&write("a", "job/1", 0)).unwrap();
    // The delayed copy is the only other transaction that reaches the table, and ends as a conflict.
    while platform.usage().conflicts == 0 {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert_eq!(platform.usage().commits, 1);
}

#[test]
fn refused_connection_is_unavailable() {
    let table = HttpTable::new(refusing_address(), timeouts());
    let error = table.commit(&write("a", "job/1", 0)).unwrap_err();
    assert!(matches!(error, TableError::Unavailable(_)), "{error}");
}

#[test]
fn reported_outage_is_unavailable() {
    let (platform, table) = platform();
    inject(&platform, Target::Commits, FaultKind::Outage, 1);
    let error = table.commit(&write("a", "job/1", 0)).unwrap_err();
    assert!(matches!(error, TableError::Unavailable(_)), "{error}");
    assert_eq!(platform.usage().commits, 0);
}

/// Guards against a definite result when the table becomes unavailable between the write and reading it back.
#[test]
fn failed_read_back_is_unknown() {
    let (platform, table) = platform();
    inject(&platform, Target::Commits, FaultKind::Lost, 1);
    inject(&platform, Target::Reads, FaultKind::Outage, 1);
    let error = table.commit(&write("a", "job/1", 0)).unwrap_err();
    assert!(matches!(error, TableError::Unknown(_)), "{error}");
    assert!(!error.is_unwritten());
}

/// Guards against "not written" being reported when the repeated request has no answer either.
#[test]
fn second_lost_request_is_unknown() {
    let (platform, table) = platform();
    inject(&platform, Target::Commits, FaultKind::Cut, 2);
    let error = table.commit(&write("a", "job/1", 0)).unwrap_err();
    assert!(matches!(error, TableError::Unknown(_)), "{error}");
}

/// Guards against a conflict being reported for a transaction that was applied and whose row was then overwritten.
#[test]
fn overwritten_row_is_unknown() {
    let (_server, memory, table) = lossy_table(|memory, txn, _| {
        let version = memory.commit(txn).unwrap();
        memory.commit(&write("other", "job/1", version)).unwrap();
    });
    let error = table.commit(&write("a", "job/1", 0)).unwrap_err();
    assert!(matches!(error, TableError::Unknown(_)), "{error}");
    assert_eq!(memory.usage().commits, 2);
}

/// Guards against the identifier in one row being missed because another row was overwritten.
#[test]
fn any_row_with_the_identifier_proves_the_write() {
    let (_server, memory, table) = lossy_table(|memory, txn, _| {
        let version = memory.commit(txn).unwrap();
        memory.commit(&write("other", "job/1", version)).unwrap();
    });
    let mut txn = write("a", "job/1", 0);
    txn.puts.extend(write("a", "queue/p/1", 0).puts);
    assert_eq!(table.commit(&txn), Ok(1));
    assert_eq!(memory.usage().commits, 2);
}

/// Guards against an unknown result where a failed check proves that the transaction cannot be applied.
#[test]
fn failed_check_with_an_unchanged_row_is_a_conflict() {
    let (_server, memory, table) = lossy_table(|memory, _, _| {
        memory.commit(&write("other", "pool/p", 1)).unwrap();
    });
    memory.commit(&write("setup", "pool/p", 0)).unwrap();
    memory.commit(&write("setup", "job/1", 0)).unwrap();
    let mut txn = write("a", "job/1", 2);
    txn.checks.insert(0, check("pool/p", 1));
    let error = table.commit(&txn).unwrap_err();
    assert!(matches!(error, TableError::Conflict { found: 3, .. }), "{error}");
    assert_eq!(memory.usage().commits, 3);
}

/// Guards against an absent row being taken as proof that this transaction removed it.
#[test]
fn lost_removal_is_unknown_once_the_row_is_gone() {
    let (_server, memory, table) = lossy_table(|memory, txn, _| {
        memory.commit(txn).unwrap();
    });
    memory.commit(&write("setup", "open/i/1", 0)).unwrap();
    let error = table.commit(&remove("a", "open/i/1", 1)).unwrap_err();
    assert!(matches!(error, TableError::Unknown(_)), "{error}");
}

#[test]
fn lost_removal_is_repeated_while_the_row_is_there() {
    let (_server, memory, table) = lossy_table(|_, _, _| {});
    memory.commit(&write("setup", "open/i/1", 0)).unwrap();
    table.commit(&remove("a", "open/i/1", 1)).unwrap();
    assert_eq!(memory.read(&["open/i/1".to_owned()]), Ok(vec![None]));
}

/// Guards against repeating a transaction that no check prevents from being applied twice.
#[test]
fn transaction_without_checks_is_never_repeated() {
    let (_server, memory, table) = lossy_table(|_, _, _| {});
    let mut txn = write("a", "job/1", 0);
    txn.checks.clear();
    txn.puts.push(put("job/2", false));
    let error = table.commit(&txn).unwrap_err();
    assert!(matches!(error, TableError::Unknown(_)), "{error}");
    assert_eq!(memory.usage().commits, 0);
}

/// Guards against accepting an answer that is invalid, too large, truncated, or sent by an intermediary.
#[test]
fn invalid_answers_are_resolved_by_reading_back() {
    let too_large = vec![b' '; (64 << 20) + 1];
    let truncated = b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{\"version\":1}".to_vec();
    let garbage = b"\x00\x01nonsense\r\n\r\n".to_vec();
    let redirect = b"HTTP/1.1 307 X\r\nLocation: /v1/table/commit\r\nContent-Length: 0\r\n\r\n".to_vec();
    let response = |status: u16, body: &[u8]| {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        [head.as_bytes(), body].concat()
    };
    let answers = [
        garbage,
        truncated,
        redirect,
        response(200, b"{\"version\":\"one\"}"),
        response(200, &too_large),
        response(503, b"<html>busy</html>"),
        response(409, b"conflict"),
        Vec::new(),
    ];
    for answer in answers {
        let (_server, memory, table) = lossy_table(move |memory, txn, stream| {
            memory.commit(txn).unwrap();
            drop(std::io::Write::write_all(stream, &answer));
        });
        assert_eq!(table.commit(&write("a", "job/1", 0)), Ok(1));
        assert_eq!(memory.usage().commits, 1);
    }
}
