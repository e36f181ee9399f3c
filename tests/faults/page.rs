//! Generates `docs/faults.md` from the tables of the matrix.

use std::fmt::Write;

use standin::fake::Side;

use super::matrix::{FAULTS, LIFE_CYCLES, Points, fault_free_points};

const HEAD: &str = "\
# Faults

Each row is a fault and each column a life cycle. A cell names its test in `tests/faults` and the number of points at
which the fault is injected, each in a run of its own. After each run, a checker reads the records of the endpoints and
the responses to callers and operators, and checks all promises of section 2 of [design.md](design.md). The points are
those that the life cycle passes without a fault, before and after each step, so new steps are included automatically.

A simulation has 3 instances, 8 endpoints in one rack, and a virtual clock. It runs in one process on stand-ins for the
platform and the endpoints.

The tests generate this page. After a change, regenerate it with
`FAULTS_PAGE=$PWD/docs/faults.md cargo test --test faults page`.
";

const TAIL: &str = "
## Reports from operators of similar systems

What operators of similar systems reported, whether it can happen to job graphs, and the test that shows it. The soaks
(`tests/dispatch/soak.rs`, `platform/tests/soak`) check all of them at random.

| report | here | tests |
|---|---|---|
| work of a machine that was silent for a while ran again elsewhere, or was given up | a run counts until every lease that may cover it has passed; an entry that lapses takes nothing away | `takeover::a_run_on_a_silent_endpoint_is_not_started_again`, `lease_bounds`, `odd_entries::a_rejected_entry_leaves_the_runs_of_its_endpoint_alone` in `tests/dispatch` |
| around a hand-over both processes acted | each transaction expects the ledger row of its leader, and orders carry its token | `election::a_leader_that_stops_hands_over_at_once`, `incarnation::a_successor_has_a_higher_token_than_any_restart_has_used` in `tests/lead` |
| a paused process acted on a permission that had run out | stop orders were sent, fixed; starts and leases were not | `expired_lead`, `election::a_late_answer_does_not_prolong_leadership` in `tests/lead` |
| after a lost answer work ran again, or was denied | a start without an answer keeps its room; a denial is sent only if no write is in doubt | `no_answer`, `ends`, `store_failure` in `tests/dispatch`; a denial that is untrue is looked for by `platform/tests/soak` |
| after a restart a server that had left, or a key, was in use again | nothing is kept on an instance; lists and keys are read anew, and refused once they are old | `election::the_configuration_stays_fresh_while_the_feeds_are_silent` in `tests/lead`, `incarnation` in `tests/dispatch`; a key withdrawn during a restart is not tested on its own |
| one malformed message took a process down | numbers from outside saturate, undecodable rows are left out | `odd_rows` in `tests/lead`, `odd_entries`, `odd_jobs` and `odd_reports` in `tests/dispatch`, `odd_input` and `odd_answers` in `platform/tests` |

## Not covered

- Real processes, threads and sockets: each simulated instance makes one request at a time.
- Network partitions between regions, and failures of the mesh between instances: simulated hints are never lost.
- Faults at steps that occur only after another fault, such as `refuse` after a lost answer.
- Faults at the second occurrence of a step, and pairs of faults other than the three in the table.
- Gangs that run for less than 2 s. A planner may learn as late as 2 s after it released the other members that one did
  not start; members with shorter work have then already ended without it.
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
        writeln!(page, "| {label} | {} |", step_names(points)).expect("writing to a string succeeds");
    }
    page.push_str("\n## Matrix\n\n| fault |");
    for (_, _, label) in &cycles {
        write!(page, " {label} |").expect("writing to a string succeeds");
    }
    page.push_str("\n|---|---|---|---|---|---|---|\n");
    for (fault, test, label) in FAULTS {
        write!(page, "| {label} |").expect("writing to a string succeeds");
        for (points, cycle, _) in &cycles {
            let count = points
                .iter()
                .filter(|(step, side)| fault.applies_at(*step, *side))
                .count();
            match fault.inapplicable_reason(points) {
                Some(reason) => write!(page, " does not apply: {reason} |"),
                None if count == 0 => write!(page, " not tested |"),
                None => write!(page, " `{test}::{cycle}`, {count} |"),
            }
            .expect("writing to a string succeeds");
        }
        page.push('\n');
    }
    page + TAIL
}

/// Guards against a page that names missing tests or points, or omits some.
#[test]
fn page_agrees_with_tests() {
    let page = page();
    if let Some(path) = std::env::var_os("FAULTS_PAGE") {
        std::fs::write(path, &page).expect("the path in FAULTS_PAGE is writable");
    }

    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/faults.md");
    let stored = std::fs::read_to_string(path).unwrap_or_default();

    assert_eq!(
        stored, page,
        "the page is outdated; regenerate it with FAULTS_PAGE={path}"
    );
}
