//! Rate limit on the use of the table by one instance.

use std::sync::Arc;

use arbtest::arbtest;
use serde_json::json;
use standin::fake::VirtualClock;
use standin::table::MemoryTable;
use yuccaridge::platform::{Check, OpId, Put, RateLimitedTable, Step, StepUsage, Table, TableBudget, TableError, Txn};
use yuccaridge::time::{Clock, Millis};

/// Seed of the arbitrary inputs.
const SEED: u64 = 0x0051_a7e5_0000_0400;

fn limited(instances: usize) -> (Arc<VirtualClock>, RateLimitedTable<MemoryTable>) {
    let clock = Arc::new(VirtualClock::default());
    let source: Arc<dyn Clock> = Arc::<VirtualClock>::clone(&clock);
    let table = RateLimitedTable::new(MemoryTable::default(), source, TableBudget::default(), instances);
    (clock, table)
}

fn txn(step: Step) -> Txn {
    Txn {
        step,
        op: OpId("a".to_owned()),
        checks: Vec::new(),
        puts: vec![Put {
            key: "job/1".to_owned(),
            value: Some(json!(1)),
        }],
    }
}

/// Commits until the limit rejects a commit; returns the number of successful commits.
fn commit_until_limited(table: &RateLimitedTable<MemoryTable>, step: Step) -> usize {
    let mut count = 0;
    loop {
        match table.commit(&txn(step)) {
            Ok(_) => count += 1,
            Err(TableError::Limited) => return count,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Guards against writes of low priority that use up the bucket and so block writes of higher priority.
#[test]
fn each_priority_leaves_tokens_to_the_higher_ones() {
    for instances in [1, 7, 9, 40] {
        let (_, table) = limited(instances);
        for step in [Step::Quarantine, Step::Place, Step::End, Step::Renew] {
            assert!(
                commit_until_limited(&table, step) > 0,
                "{step:?} with {instances} instances"
            );
        }
    }
}

/// Guards against a burst of outcomes that blocks the renewal of the session, so that the instance loses it.
#[test]
fn renewals_succeed_during_a_burst_of_outcomes() {
    let (clock, table) = limited(9);
    for _ in 0..60 {
        clock.advance(Millis(1000));
        commit_until_limited(&table, Step::Place);
        commit_until_limited(&table, Step::End);
        table.commit(&txn(Step::Renew)).unwrap();
    }
}

/// Guards against lower priorities that stay blocked after the bucket was empty.
#[test]
fn lowest_priority_succeeds_after_a_pause() {
    let (clock, table) = limited(9);
    commit_until_limited(&table, Step::Renew);
    clock.advance(Millis(1000));
    table.commit(&txn(Step::Quarantine)).unwrap();
}

/// Guards against bursts above the share, which overload the platform when several instances have them at once.
#[test]
fn no_second_exceeds_the_share() {
    arbtest(|u| {
        let instances = u.int_in_range(1..=9)?;
        let (clock, table) = limited(instances);
        let max = 150 / instances;
        let mut sent: Vec<Millis> = Vec::new();
        for _ in 0..u.int_in_range(1..=40)? {
            clock.advance(Millis(u.int_in_range(0..=700)?));
            let step = *u.choose(&[Step::Renew, Step::End, Step::Place, Step::Quarantine])?;
            for _ in 0..u.int_in_range(0..=200)? {
                if table.commit(&txn(step)).is_ok() {
                    sent.push(clock.now());
                }
            }
        }
        for (index, start) in sent.iter().enumerate() {
            let count = sent[index..]
                .iter()
                .filter(|at| at.since(*start) < Millis(1000))
                .count();
            assert!(count <= max, "{count} writes in a second with {instances} instances");
        }
        Ok(())
    })
    .seed(SEED);
}

/// Guards against a share that stays the same when the number of live instances changes.
#[test]
fn share_follows_the_number_of_instances() {
    let (clock, table) = limited(1);
    let alone = commit_until_limited(&table, Step::Renew);
    table.set_instances(5);
    clock.advance(Millis::from_secs(60));
    let shared = commit_until_limited(&table, Step::Renew);
    table.set_instances(1);
    clock.advance(Millis::from_secs(60));
    assert_eq!((alone, shared, commit_until_limited(&table, Step::Renew)), (37, 7, 37));
}

#[test]
fn reads_have_a_separate_bucket() {
    let (clock, table) = limited(8);
    commit_until_limited(&table, Step::Renew);
    let mut reads = 0;
    while table.read(&[]).is_ok() {
        reads += 1;
    }
    assert_eq!(reads, 31);
    assert_eq!(table.scan("job/", None, 1), Err(TableError::Limited));
    clock.advance(Millis(1000));
    table.scan("job/", None, 1).unwrap();
}

#[test]
fn usage_is_counted_by_step() {
    let (_, table) = limited(1);
    table.commit(&txn(Step::Accept)).unwrap();
    let mut conflicting = txn(Step::Accept);
    conflicting.checks.push(Check {
        key: "job/1".to_owned(),
        version: 9,
    });
    table.commit(&conflicting).unwrap_err();
    commit_until_limited(&table, Step::Quarantine);
    table.read(&[]).unwrap();

    let usage = table.usage();

    let accept = StepUsage {
        commits: 1,
        rows: 1,
        conflicts: 1,
        ..StepUsage::default()
    };
    assert_eq!(usage[&Step::Accept], accept);
    assert_eq!(usage[&Step::Quarantine].limited, 1);
    assert_eq!(usage[&Step::Read].reads, 1);
}
