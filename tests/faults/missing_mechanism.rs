//! Shows that the checker can fail: worlds that lack one mechanism each.
//!
//! The same cells pass in the matrix, where nothing is missing.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use standin::endpoint;
use standin::fake::Link;
use yuccaridge::platform::Listing;

use super::fault::Row;
use super::life_cycle::{Column, Flaw};
use super::matrix::judge;
use super::simulation::{World, endpoint_name};

fn flaw_endpoints(world: &World, flaws: endpoint::Defects) {
    for index in 0..8 {
        world
            .platform
            .with_endpoint(&endpoint_name(index), |endpoint, _| endpoint.set_defects(flaws));
    }
}

fn ignore_epochs(world: &World) {
    flaw_endpoints(
        world,
        endpoint::Defects {
            ignores_epochs: true,
            ..endpoint::Defects::default()
        },
    );
}

fn forget_refusals(world: &World) {
    flaw_endpoints(
        world,
        endpoint::Defects {
            forgets_refusals: true,
            ..endpoint::Defects::default()
        },
    );
}

fn start_held(world: &World) {
    flaw_endpoints(
        world,
        endpoint::Defects {
            starts_when_prepared: true,
            ..endpoint::Defects::default()
        },
    );
}

fn uncheck(world: &World, prefix: &str) {
    world.platform.table.set_unchecked(Some(prefix.to_owned()));
}

/// Has the table say of each write without an answer that it took effect.
fn claim_ops(world: &World) {
    for node in &world.nodes {
        node.link.report_delayed_as_applied();
    }
}

/// Has the list show every endpoint as live for ever.
fn hide_leaving(world: &World) {
    let list = Link::new(&world.platform).list().expect("the list answers");
    for node in &world.nodes {
        node.link.set_list(Some(list.clone()));
    }
}

fn hurry(world: &World) {
    for node in &world.nodes {
        node.hasty.store(true, Ordering::Relaxed);
    }
}

/// Points that fail without a mechanism, and the promises that are broken there.
fn failing(flaw: Flaw, cells: &[(Row, Column)]) -> (usize, usize, BTreeSet<String>) {
    let (mut all, mut bad, mut promises) = (0, BTreeSet::new(), BTreeSet::new());
    for (row, column) in cells {
        let judged = judge(*row, *column, Some(flaw));
        all += judged.count;
        for line in judged.bad {
            let mut parts = line.split(": ");
            bad.insert(format!("{row:?} {column:?} {}", parts.next().unwrap_or_default()));
            promises.extend(parts.next().map(str::to_owned));
        }
    }
    (all, bad.len(), promises)
}

macro_rules! missing {
    ($($name:ident $flaw:expr, [$($row:ident $column:ident),*];)*) => {
        $(#[test]
        fn $name() {
            let cells = [$((Row::$row, Column::$column)),*];
            let (all, bad, promises) = failing($flaw, &cells);
            println!("without {}: {bad} of {all} points fail, {promises:?}", stringify!($name));
            assert!(bad > 0, "the checker notices");
        })*
    };
}

missing! {
    fencing_token ignore_epochs, [Frozen Gang];
    refusal_record forget_refusals, [AnswerLate Once, AnswerLate Gang, CutTo Once];
    release_step start_held, [CutTo Gang];
    configuration_lease |world| uncheck(world, "ticket/head"), [TableLost Ticket];
    table_checks |world| uncheck(world, ""), [Frozen Once, TableLost Ticket];
    operation_id claim_ops, [TableLate Once, TableLate Gang, TableLate Ticket];
    leaving_list hide_leaving, [EndpointLeaving Reclaim];
    drain_phase hurry, [Draining Drain];
}
