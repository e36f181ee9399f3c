//! Whatever becomes of a transaction and its rows while its answer is lost, what the adapter reports is true.

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

/// What becomes of the first copy of the transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Applied,
    Lost,
    /// Arrives just before the second copy.
    Overtaken,
    /// Arrives after the adapter has reported.
    Late,
}

#[derive(Debug)]
struct Case {
    table: MemoryTable,
    fate: Fate,
    /// What others write before and after the first copy.
    before: Vec<Txn>,
    after: Vec<Txn>,
    /// What they write just before the second copy.
    meanwhile: Vec<Txn>,
    /// Versions that the transaction was applied with.
    applied: Vec<Version>,
    copies: usize,
}

impl Case {
    fn apply(&mut self, txn: &Txn) -> Result<Version, TableError> {
        let result = self.table.commit(txn);
        self.applied.extend(&result);
        result
    }

    /// Handles the first copy; its answer is lost.
    fn first(&mut self, txn: &Txn) {
        for other in &self.before {
            self.table.commit(other).unwrap();
        }
        if self.fate == Fate::Applied {
            drop(self.apply(txn));
        }
        for other in &self.after {
            self.table.commit(other).unwrap();
        }
    }
}

fn answer(case: &Mutex<Option<Case>>, received: &Received, stream: &mut TcpStream) {
    let mut case = case.lock().unwrap();
    let case = case.as_mut().unwrap();
    if reply_read(stream, received, &case.table) {
        return;
    }
    let txn: Txn = serde_json::from_slice(&received.body).unwrap();
    case.copies += 1;
    if case.copies == 1 {
        return case.first(&txn);
    }
    if case.fate == Fate::Overtaken {
        drop(case.apply(&txn));
    }
    for other in &case.meanwhile {
        case.table.commit(other).unwrap();
    }
    reply_commit(stream, case.apply(&txn));
}

/// A transaction that changes and checks nothing yet.
fn empty(op: &str) -> Txn {
    Txn {
        checks: Vec::new(),
        puts: Vec::new(),
        ..write(op, "a", 0)
    }
}

fn other(random: &mut SmallRng, existing: &[Key]) -> Txn {
    let key = KEYS[random.random_range(0..KEYS.len())];
    // Others remove only rows that were there before: the documented gap is a row that is created and removed again.
    let removes = existing.iter().any(|name| name == key) && random.random_bool(0.4);
    Txn {
        puts: vec![put(key, !removes)],
        ..empty("other")
    }
}

/// A table with some rows, a transaction whose checks hold on it, and what is to happen.
fn draw(random: &mut SmallRng) -> (Case, Txn) {
    let table = MemoryTable::default();
    let mut existing = Vec::new();
    let mut txn = empty("ours");
    for key in KEYS {
        let mut version = 0;
        if random.random_bool(0.6) {
            let mut setup = other(random, &[]);
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
    let fates = [Fate::Applied, Fate::Lost, Fate::Overtaken, Fate::Late];
    let fate = fates[random.random_range(0..fates.len())];
    let mut others = || {
        let count = random.random_range(0..3);
        (0..count).map(|_| other(random, &existing)).collect()
    };
    let case = Case {
        table,
        fate,
        before: others(),
        after: others(),
        meanwhile: others(),
        applied: Vec::new(),
        copies: 0,
    };
    (case, txn)
}

/// Guards against any order of events in which "applied" or "not written" is reported and does not stay true, or in
/// which a transaction is applied twice.
#[test]
fn reports_are_true_in_any_order_of_events() {
    let current = Arc::new(Mutex::new(None));
    let shared = Arc::clone(&current);
    let server = RawServer::start(move |_, received, stream| answer(&shared, &received, stream));
    let table = HttpTable::new(server.address, timeouts());
    let mut counts = [0; 3];
    for number in 0..CASES {
        let (case, txn) = draw(&mut SmallRng::seed_from_u64(SEED + number));
        *current.lock().unwrap() = Some(case);

        let result = table.commit(&txn);

        let mut case = current.lock().unwrap().take().unwrap();
        let reported = case.applied.clone();
        if case.fate == Fate::Late || (case.fate == Fate::Overtaken && case.copies == 1) {
            drop(case.apply(&txn));
        }
        let about = format!("case {number}: {result:?} for {txn:?} in {case:?}");
        match &result {
            Ok(version) => {
                assert_eq!(reported, [*version], "{about}");
                counts[0] += 1;
            }
            Err(error) if error.is_unwritten() => {
                assert!(case.applied.is_empty(), "{about}");
                counts[1] += 1;
            }
            Err(_) => counts[2] += 1,
        }
        assert!(case.applied.len() <= 1, "{about}");
    }
    assert!(counts.iter().all(|count| *count >= 20), "cases by result: {counts:?}");
}
