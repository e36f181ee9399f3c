//! The matrix of faults and life cycles: one test per cell, which injects the fault at every point of the life cycle.

use std::collections::BTreeSet;
use std::sync::OnceLock;

use standin::fake::Side;
use yuccaridge::platform::Step;

use super::checker::check;
use super::fault::FaultKind;
use super::life_cycle::{self, Defect, LifeCycle};
use super::simulation::lock;

pub type Points = BTreeSet<(Step, Side)>;

pub const LIFE_CYCLES: [(LifeCycle, &str, &str); 6] = [
    (LifeCycle::Idempotent, "idempotent", "idempotent call"),
    (LifeCycle::NonIdempotent, "non_idempotent", "non-idempotent call"),
    (LifeCycle::Gang, "gang", "batch gang"),
    (LifeCycle::Reclaim, "reclaim", "reclaim"),
    (LifeCycle::Ticket, "ticket", "ticket"),
    (LifeCycle::Drain, "drain", "drain"),
];

/// Points that a life cycle passes when no fault is injected.
pub fn fault_free_points(cycle: LifeCycle) -> Points {
    static KNOWN: [OnceLock<Points>; 6] = [const { OnceLock::new() }; 6];
    let find = || {
        let (sim, evidence) = life_cycle::run(cycle, None);
        assert_eq!(check(&evidence), [], "promises hold without a fault");
        lock(&sim.injector).points.clone()
    };
    KNOWN[cycle as usize].get_or_init(find).clone()
}

/// Results of a fault at every point of a life cycle.
#[derive(Debug, Default)]
pub struct CellResult {
    pub count: usize,
    /// Broken promises, each with its point.
    pub violations: Vec<String>,
    /// Points at which the fault was never injected.
    pub not_injected: Points,
}

/// Runs the life cycle once for each point at which the fault applies.
pub fn run_cell(fault: FaultKind, cycle: LifeCycle, defect: Option<Defect>) -> CellResult {
    let points = fault_free_points(cycle);
    let mut result = CellResult::default();
    if fault.inapplicable_reason(&points).is_some() {
        return result;
    }
    for (step, side) in points {
        if !fault.applies_at(step, side) {
            continue;
        }
        result.count += 1;
        let (sim, evidence) = life_cycle::run_with_defect(cycle, Some((fault, step, side)), defect);
        if lock(&sim.injector).injected_at.is_none() {
            result.not_injected.insert((step, side));
        }
        for violation in check(&evidence) {
            result.violations.push(format!(
                "{step:?} {side:?}: promise {}: {}",
                violation.promise, violation.description
            ));
        }
    }
    result
}

fn assert_cell(fault: FaultKind, cycle: LifeCycle) {
    let CellResult {
        count,
        violations,
        not_injected,
    } = run_cell(fault, cycle, None);
    println!("{fault:?} {cycle:?}: {count} points, {} violations", violations.len());
    assert_eq!(
        not_injected,
        Points::new(),
        "{fault:?} {cycle:?} is injected at every point"
    );
    assert!(violations.is_empty(), "{fault:?} {cycle:?}:\n{}", violations.join("\n"));
}

macro_rules! faults {
    ($($name:ident $fault:ident $label:literal,)*) => {
        /// The faults with the names of their test modules and their labels.
        pub const FAULTS: &[(FaultKind, &str, &str)] = &[$((FaultKind::$fault, stringify!($name), $label)),*];

        $(mod $name {
            use super::super::{fault::FaultKind, life_cycle::LifeCycle};

            #[test]
            fn idempotent() {
                super::assert_cell(FaultKind::$fault, LifeCycle::Idempotent);
            }

            #[test]
            fn non_idempotent() {
                super::assert_cell(FaultKind::$fault, LifeCycle::NonIdempotent);
            }

            #[test]
            fn gang() {
                super::assert_cell(FaultKind::$fault, LifeCycle::Gang);
            }

            #[test]
            fn reclaim() {
                super::assert_cell(FaultKind::$fault, LifeCycle::Reclaim);
            }

            #[test]
            fn ticket() {
                super::assert_cell(FaultKind::$fault, LifeCycle::Ticket);
            }

            #[test]
            fn drain() {
                super::assert_cell(FaultKind::$fault, LifeCycle::Drain);
            }
        })*
    };
}

faults! {
    killed Killed "instance killed",
    frozen Frozen "instance frozen for 15 s, then resumed",
    draining Draining "instance draining",
    table_down TableDown "table down for 20 s",
    table_slow TableSlow "table slow: 2 s for each request, for 10 s",
    table_answer_lost TableAnswerLost "table answer lost after the write",
    table_write_late TableWriteLate "table write delayed: no answer, takes effect 5 s later",
    objects_down ObjectsDown "object store down for 20 s",
    list_incomplete ListIncomplete "list incomplete: an endpoint is missing for 20 s",
    list_stale ListStale "list stale: a leaving endpoint is shown as live for 20 s",
    endpoint_dead EndpointDead "endpoint dead",
    endpoint_failing EndpointFailing "endpoint fails all work",
    endpoint_leaving EndpointLeaving "endpoint leaving",
    request_late RequestLate "command or call delayed: no answer, arrives 5 s later",
    message_repeated MessageRepeated "command or part of an answer repeated",
    parts_reordered PartsReordered "parts of an answer reordered",
    request_cut RequestCut "connection to the endpoint cut before the request arrives",
    response_cut ResponseCut "connection to the endpoint cut before the answer arrives",
    ticket_race TicketRace "two operators send different tickets with the same number",
    cancellations Cancellations "burst of 200 cancellations",
    freeze_answer_lost FreezeAnswerLost "instance frozen for 15 s, then its answer lost",
    outage_kill OutageKill "table down for 20 s, and instance killed",
    ticket_race_kill TicketRaceKill "two operators send different tickets with the same number, and one of their instances killed",
}

/// Guards against nondeterminism: two runs with the same fault must leave the same evidence.
#[test]
fn runs_are_deterministic() {
    for cycle in [LifeCycle::Gang, LifeCycle::Drain] {
        let target = Some((FaultKind::Frozen, Step::Read, Side::Before));
        let runs = [(); 2].map(|()| life_cycle::run(cycle, target).1);
        assert_eq!(runs[0].record, runs[1].record, "{cycle:?}");
        assert_eq!(
            format!("{:?}", runs[0].responses),
            format!("{:?}", runs[1].responses),
            "{cycle:?}"
        );
    }
}
