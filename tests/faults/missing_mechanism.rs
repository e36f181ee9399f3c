//! Tests that the checker reports violations in simulations that lack one mechanism each.
//!
//! The same cells pass in the matrix, where no mechanism is disabled.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use standin::endpoint;
use standin::fake::Link;
use yuccaridge::platform::Listing;

use super::fault::FaultKind;
use super::life_cycle::{Defect, LifeCycle};
use super::matrix::run_cell;
use super::simulation::{Simulation, endpoint_name};

fn set_endpoint_defects(sim: &Simulation, defects: endpoint::Defects) {
    for index in 0..8 {
        sim.platform
            .with_endpoint(&endpoint_name(index), |endpoint, _| endpoint.set_defects(defects));
    }
}

fn ignore_epochs(sim: &Simulation) {
    set_endpoint_defects(
        sim,
        endpoint::Defects {
            ignores_epochs: true,
            ..endpoint::Defects::default()
        },
    );
}

fn forget_refusals(sim: &Simulation) {
    set_endpoint_defects(
        sim,
        endpoint::Defects {
            forgets_refusals: true,
            ..endpoint::Defects::default()
        },
    );
}

fn start_on_prepare(sim: &Simulation) {
    set_endpoint_defects(
        sim,
        endpoint::Defects {
            starts_when_prepared: true,
            ..endpoint::Defects::default()
        },
    );
}

fn skip_checks(sim: &Simulation, prefix: &str) {
    sim.platform.table.set_unchecked(Some(prefix.to_owned()));
}

/// Makes the table report every unanswered write as applied.
fn confirm_unanswered_writes(sim: &Simulation) {
    for instance in &sim.instances {
        instance.link.report_delayed_as_applied();
    }
}

/// Makes the list show every endpoint as live permanently.
fn show_leaving_as_live(sim: &Simulation) {
    let list = Link::new(&sim.platform).list().expect("the list answers");
    for instance in &sim.instances {
        instance.link.set_list(Some(list.clone()));
    }
}

fn skip_in_flight_wait(sim: &Simulation) {
    for instance in &sim.instances {
        instance.skips_in_flight_wait.store(true, Ordering::Relaxed);
    }
}

/// Number of points tested, number that fail without a mechanism, and the promises that are broken there.
fn failing_points(defect: Defect, cells: &[(FaultKind, LifeCycle)]) -> (usize, usize, BTreeSet<String>) {
    let (mut total, mut failed, mut promises) = (0, BTreeSet::new(), BTreeSet::new());
    for (fault, cycle) in cells {
        let result = run_cell(*fault, *cycle, Some(defect));
        total += result.count;
        for line in result.violations {
            let mut parts = line.split(": ");
            failed.insert(format!("{fault:?} {cycle:?} {}", parts.next().unwrap_or_default()));
            promises.extend(parts.next().map(str::to_owned));
        }
    }
    (total, failed.len(), promises)
}

macro_rules! missing {
    ($($name:ident $defect:expr, [$($fault:ident $cycle:ident),*];)*) => {
        $(#[test]
        fn $name() {
            let cells = [$((FaultKind::$fault, LifeCycle::$cycle)),*];
            let (total, failed, promises) = failing_points($defect, &cells);
            println!("without {}: {failed} of {total} points fail, {promises:?}", stringify!($name));
            assert!(failed > 0, "the checker reports no violation");
        })*
    };
}

missing! {
    fencing_token ignore_epochs, [Frozen Gang];
    refusal_record forget_refusals, [RequestLate NonIdempotent, RequestLate Gang, RequestCut NonIdempotent];
    release_step start_on_prepare, [RequestCut Gang];
    configuration_lease |sim| skip_checks(sim, "ticket/head"), [TableAnswerLost Ticket];
    table_checks |sim| skip_checks(sim, ""), [Frozen NonIdempotent, TableAnswerLost Ticket];
    operation_id confirm_unanswered_writes, [TableWriteLate NonIdempotent, TableWriteLate Gang, TableWriteLate Ticket];
    leaving_list show_leaving_as_live, [EndpointLeaving Reclaim];
    drain_phase skip_in_flight_wait, [Draining Drain];
}
