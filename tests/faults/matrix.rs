//! One test for each cell: a fault at every point of a life cycle.

use std::collections::BTreeSet;
use std::sync::OnceLock;

use standin::fake::Side;
use yuccaridge::platform::Step;

use super::checker::check;
use super::fault::Row;
use super::life_cycle::{self, Column, Flaw};
use super::simulation::lock;

pub type Points = BTreeSet<(Step, Side)>;

pub const COLUMNS: [(Column, &str, &str); 6] = [
    (Column::Idempotent, "idempotent", "idempotent call"),
    (Column::Once, "once", "non-idempotent call"),
    (Column::Gang, "gang", "batch gang"),
    (Column::Reclaim, "reclaim", "reclaim"),
    (Column::Ticket, "ticket", "ticket"),
    (Column::Drain, "drain", "drain"),
];

/// Points that a life cycle passes without a fault.
pub fn points(column: Column) -> Points {
    static KNOWN: [OnceLock<Points>; 6] = [const { OnceLock::new() }; 6];
    let find = || {
        let (world, evidence) = life_cycle::run(column, None);
        assert_eq!(check(&evidence), [], "without a fault");
        lock(&world.injector).points.clone()
    };
    KNOWN[column as usize].get_or_init(find).clone()
}

/// What came of a fault at every point of a life cycle.
#[derive(Debug, Default)]
pub struct Judged {
    pub count: usize,
    /// Broken promises, with the point.
    pub bad: Vec<String>,
    /// Points at which the fault was never injected.
    pub unreached: Points,
}

/// Runs the fault at every point.
pub fn judge(row: Row, column: Column, flaw: Option<Flaw>) -> Judged {
    let points = points(column);
    let mut judged = Judged::default();
    if row.pointless(&points).is_some() {
        return judged;
    }
    for (step, side) in points {
        if !row.applies(step, side) {
            continue;
        }
        judged.count += 1;
        let (world, evidence) = life_cycle::run_flawed(column, Some((row, step, side)), flaw);
        if lock(&world.injector).fired.is_none() {
            judged.unreached.insert((step, side));
        }
        for violation in check(&evidence) {
            judged.bad.push(format!(
                "{step:?} {side:?}: promise {}: {}",
                violation.promise, violation.what
            ));
        }
    }
    judged
}

fn cell(row: Row, column: Column) {
    let Judged { count, bad, unreached } = judge(row, column, None);
    println!("{row:?} {column:?}: {count} points, {} violations", bad.len());
    assert_eq!(
        unreached,
        Points::new(),
        "{row:?} {column:?} is injected at every point"
    );
    assert!(bad.is_empty(), "{row:?} {column:?}:\n{}", bad.join("\n"));
}

macro_rules! rows {
    ($($name:ident $row:ident $about:literal,)*) => {
        /// The rows with the names of their tests.
        pub const ROWS: &[(Row, &str, &str)] = &[$((Row::$row, stringify!($name), $about)),*];

        $(mod $name {
            use super::super::{fault::Row, life_cycle::Column};

            #[test]
            fn idempotent() {
                super::cell(Row::$row, Column::Idempotent);
            }

            #[test]
            fn once() {
                super::cell(Row::$row, Column::Once);
            }

            #[test]
            fn gang() {
                super::cell(Row::$row, Column::Gang);
            }

            #[test]
            fn reclaim() {
                super::cell(Row::$row, Column::Reclaim);
            }

            #[test]
            fn ticket() {
                super::cell(Row::$row, Column::Ticket);
            }

            #[test]
            fn drain() {
                super::cell(Row::$row, Column::Drain);
            }
        })*
    };
}

rows! {
    killed Killed "instance killed",
    frozen Frozen "instance frozen for 15 s, then resumed",
    draining Draining "instance draining",
    table_down TableDown "table down for 20 s",
    table_slow TableSlow "table slow: 2 s for each request, for 10 s",
    table_lost TableLost "table answer lost after the write",
    table_late TableLate "table write late: its sender hears nothing, it takes effect 5 s later",
    objects_down ObjectsDown "object store down for 20 s",
    list_misses ListMisses "list wrong: an endpoint is missing for 20 s",
    list_old ListOld "list lags: a leaving endpoint is shown as live for 20 s",
    endpoint_dead EndpointDead "endpoint dead",
    endpoint_broken EndpointBroken "endpoint fails everything",
    endpoint_leaving EndpointLeaving "endpoint leaving",
    answer_late AnswerLate "command or call late: its sender hears nothing, it arrives 5 s later",
    answer_repeated AnswerRepeated "command or part of an answer repeated",
    answer_disordered AnswerDisordered "parts of an answer out of order",
    cut_to CutTo "connection cut towards the endpoint",
    cut_from CutFrom "connection cut on the way back",
    race Race "two operators with the same number and different bodies",
    wave Wave "wave of 200 cancellations",
    freeze_lost FreezeLost "instance frozen for 15 s, then its answer lost",
    outage_kill OutageKill "table down for 20 s, and instance killed",
    race_kill RaceKill "two operators with the same number, and one of their instances killed",
}

/// Guards against a verdict that depends on anything but the code: the same run leaves the same evidence.
#[test]
fn runs_repeat() {
    for column in [Column::Gang, Column::Drain] {
        let target = Some((Row::Frozen, Step::Read, Side::Before));
        let runs = [(); 2].map(|()| life_cycle::run(column, target).1);
        assert_eq!(runs[0].record, runs[1].record, "{column:?}");
        assert_eq!(
            format!("{:?}", runs[0].told),
            format!("{:?}", runs[1].told),
            "{column:?}"
        );
    }
}
