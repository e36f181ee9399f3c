//! The table adapter reports the true result of a transaction whose answer is lost, whatever happens to the transaction
//! and its rows meanwhile.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::sample::{check, put, write};
use standin::table::MemoryTable;
use yuccaridge::platform::http::HttpTable;
use yuccaridge::platform::{Key, Table, TableError, Txn, Version};

use crate::fixture::timeouts;
use crate::raw_server::{RawServer, Received, reply_commit, reply_read};

const SEED: u64 = 0x7a81e;
const CASES: u64 = 400;
const KEYS: [&str; 3] = ["a", "b", "c"];

/// What happens to the first copy of the transaction. The adapter sends a second copy when the answer is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FirstCopy {
    Applied,
    Lost,
    /// Arrives just before the second copy.
    DelayedToSecond,
    /// Arrives after the adapter has reported the result.
    DelayedPastReport,
}

#[derive(Debug)]
struct Case {
    table: MemoryTable,
    first_copy: FirstCopy,
    /// Transactions of others before and after the first copy.
    before: Vec<Txn>,
    after: Vec<Txn>,
    /// Transactions of others just before the second copy.
    meanwhile: Vec<Txn>,
    /// Versions at which the transaction was applied.
    applied: Vec<Version>,
    copies: usize,
}

impl Case {
    fn apply(&mut self, txn: &Txn) -> Result<Version, TableError> {
        let result = self.table.commit(txn);
        self.applied.extend(&result);
        result
    }

    /// Handles the first copy, which gets no answer.
    fn handle_first_copy(&mut self, txn: &Txn) {
        for other in &self.before {
            self.table.commit(other).unwrap();
        }
        if self.first_copy == FirstCopy::Applied {
            drop(self.apply(txn));
        }
        for other in &self.after {
            self.table.commit(other).unwrap();
        }
    }
}

fn handle_request(case: &Mutex<Option<Case>>, received: &Received, stream: &mut TcpStream) {
    let mut case = case.lock().unwrap();
    let case = case.as_mut().unwrap();
    if reply_read(stream, received, &case.table) {
        return;
    }
    let txn: Txn = serde_json::from_slice(&received.body).unwrap();
    case.copies += 1;
    if case.copies == 1 {
        return case.handle_first_copy(&txn);
    }
    if case.first_copy == FirstCopy::DelayedToSecond {
        drop(case.apply(&txn));
    }
    for other in &case.meanwhile {
        case.table.commit(other).unwrap();
    }
    reply_commit(stream, case.apply(&txn));
}

/// A transaction without checks and changes.
fn empty(op: &str) -> Txn {
    Txn {
        checks: Vec::new(),
        puts: Vec::new(),
        ..write(op, "a", 0)
    }
}

fn other_txn(random: &mut SmallRng, existing: &[Key]) -> Txn {
    let key = KEYS[random.random_range(0..KEYS.len())];
    // Others remove only rows that existed before. A row that is created and removed again is the documented case in
    // which the adapter's report can be wrong.
    let removes = existing.iter().any(|name| name == key) && random.random_bool(0.4);
    Txn {
        puts: vec![put(key, !removes)],
        ..empty("other")
    }
}

/// Draws a table with some rows, a transaction whose checks hold on it, and the events of the case.
fn random_case(random: &mut SmallRng) -> (Case, Txn) {
    let table = MemoryTable::default();
    let mut existing = Vec::new();
    let mut txn = empty("ours");
    for key in KEYS {
        let mut version = 0;
        if random.random_bool(0.6) {
            let mut setup = other_txn(random, &[]);
            setup.puts = vec![put(key, true)];
            version = table.commit(&setup).unwrap();
            existing.push(key.to_owned());
        }
        if random.random_bool(0.7) {
            txn.checks.push(check(key, version));
        }
        if random.random_bool(0.5) {
            txn.puts.push(put(key, random.random_bool(0.7)));
        }
    }
    let first_copies = [
        FirstCopy::Applied,
        FirstCopy::Lost,
        FirstCopy::DelayedToSecond,
        FirstCopy::DelayedPastReport,
    ];
    let first_copy = first_copies[random.random_range(0..first_copies.len())];
    let mut other_txns = || {
        let count = random.random_range(0..3);
        (0..count).map(|_| other_txn(random, &existing)).collect()
    };
    let case = Case {
        table,
        first_copy,
        before: other_txns(),
        after: other_txns(),
        meanwhile: other_txns(),
        applied: Vec::new(),
        copies: 0,
    };
    (case, txn)
}

/// Guards against orders of events in which the reported result, "applied" or "not written", is or becomes false, or in
/// which a transaction is applied twice.
#[test]
fn reports_hold_in_any_order_of_events() {
    let current = Arc::new(Mutex::new(None));
    let shared = Arc::clone(&current);
    let server = RawServer::start(move |_, received, stream| handle_request(&shared, &received, stream));
    let table = HttpTable::new(server.address, timeouts());
    let mut counts = [0; 3];
    for case_number in 0..CASES {
        let (case, txn) = random_case(&mut SmallRng::seed_from_u64(SEED + case_number));
        *current.lock().unwrap() = Some(case);

        let result = table.commit(&txn);

        let mut case = current.lock().unwrap().take().unwrap();
        let applied_before_report = case.applied.clone();
        if case.first_copy == FirstCopy::DelayedPastReport
            || (case.first_copy == FirstCopy::DelayedToSecond && case.copies == 1)
        {
            drop(case.apply(&txn));
        }
        let context = format!("case {case_number}: {result:?} for {txn:?} in {case:?}");
        match &result {
            Ok(version) => {
                assert_eq!(applied_before_report, [*version], "{context}");
                counts[0] += 1;
            }
            Err(error) if error.is_unwritten() => {
                assert!(case.applied.is_empty(), "{context}");
                counts[1] += 1;
            }
            Err(_) => counts[2] += 1,
        }
        assert!(case.applied.len() <= 1, "{context}");
    }
    assert!(counts.iter().all(|count| *count >= 20), "cases by result: {counts:?}");
}
