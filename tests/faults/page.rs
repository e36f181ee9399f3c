//! `docs/faults.md`, made from the table of cells.

use std::fmt::Write;

use standin::fake::Side;

use super::matrix::{FAULTS, LIFE_CYCLES, Points, fault_free_points};

const HEAD: &str = "\
# Faults

Each row is a fault and each column a life cycle. A cell names its test in `tests/faults` and the number of points at
which the fault is injected, each in a run of its own. After each run, one checker reads what the endpoints recorded and
what callers and operators were told, and judges all promises of section 2 of [design.md](design.md). The points are
those that the life cycle passes without a fault, before and after each step, so a new step appears by itself.

A world has 3 instances, 8 endpoints in one rack, and a virtual clock. It runs in one process on the stand-ins of the
platform and the endpoints, not on real ones.

This page is made by the tests. After a change, write it anew with
`FAULTS_PAGE=$PWD/docs/faults.md cargo test --test faults page`.
";

const TAIL: &str = "
## What is not proved here

- Real processes, threads and sockets: requests of one instance follow each other here.
- Regions that lose contact with each other, and a mesh between instances that fails: hints are never lost here.
- Faults at the steps that only a fault causes, such as `refuse` after a lost answer.
- A fault during the second occurrence of a step, or a fault pair other than the three in the table.
- Gangs that run for less than 2 s. A planner learns that a member did not start up to 2 s after it released the
  others, and a member whose work is shorter has ended by then, alone.
";

fn step_names(points: &Points) -> String {
    let mut names: Vec<_> = points
        .iter()
        .filter(|(_, side)| *side == Side::Before)
        .map(|(step, _)| step.as_str())
        .collect();
    names.sort_unstable();
    names.join(", ")
}

fn page() -> String {
    let mut page = HEAD.to_owned();
    let cycles: Vec<_> = LIFE_CYCLES
        .iter()
        .map(|(cycle, name, label)| (fault_free_points(*cycle), *name, *label))
        .collect();
    page.push_str("\n## Life cycles\n\n| life cycle | steps passed |\n|---|---|\n");
    for (points, _, label) in &cycles {
        writeln!(page, "| {label} | {} |", step_names(points)).expect("strings take all");
    }
    page.push_str("\n## Matrix\n\n| fault |");
    for (_, _, label) in &cycles {
        write!(page, " {label} |").expect("strings take all");
    }
    page.push_str("\n|---|---|---|---|---|---|---|\n");
    for (fault, test, label) in FAULTS {
        write!(page, "| {label} |").expect("strings take all");
        for (points, cycle, _) in &cycles {
            let count = points
                .iter()
                .filter(|(step, side)| fault.applies_at(*step, *side))
                .count();
            match fault.inapplicable_reason(points) {
                Some(reason) => write!(page, " does not apply: {reason} |"),
                None if count == 0 => write!(page, " not proved |"),
                None => write!(page, " `{test}::{cycle}`, {count} |"),
            }
            .expect("strings take all");
        }
        page.push('\n');
    }
    page + TAIL
}

/// Guards against a page that names tests or points that are not there, or leaves some out.
#[test]
fn page_agrees_with_tests() {
    let page = page();
    if let Some(path) = std::env::var_os("FAULTS_PAGE") {
        std::fs::write(path, &page).expect("the path can be written");
    }

    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/faults.md");
    let stored = std::fs::read_to_string(path).unwrap_or_default();

    assert_eq!(stored, page, "write it with FAULTS_PAGE={path}");
}
