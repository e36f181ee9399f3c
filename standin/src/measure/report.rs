//! Prints results as a table or as JSON lines, and the targets.

use std::collections::BTreeMap;
use std::io::{self, Write};

use serde::Serialize;

use super::policy::PolicyResult;
use super::target::targets;
use super::violation::Violation;

#[derive(Debug, Serialize)]
struct Line<'a> {
    scenario: String,
    policy: &'a str,
    weights: &'a str,
    seeds: u64,
    mean_completion_s: f64,
    p95_completion_s: f64,
    large_wait_p95_s: f64,
    fragmentation: f64,
    reclaim_p99_s: f64,
    reclaims: usize,
    stops: u64,
    violations: u64,
    violation_kinds: &'a BTreeMap<Violation, u64>,
}

fn line(result: &PolicyResult) -> Line<'_> {
    let s = &result.summary;
    Line {
        scenario: result.scenario.name(),
        policy: result.policy.name(),
        weights: result.policy.weights_name(),
        seeds: result.seeds,
        mean_completion_s: s.mean_completion_s,
        p95_completion_s: s.p95_completion_s,
        large_wait_p95_s: s.large_wait_p95_s,
        fragmentation: s.fragmentation,
        reclaim_p99_s: s.reclaim_p99_s,
        reclaims: s.reclaims,
        stops: s.stops,
        violations: s.violation_count(),
        violation_kinds: &s.violations,
    }
}

/// Writes one JSON object per line for each result.
pub fn write_json<W>(results: &[PolicyResult], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    for result in results {
        serde_json::to_writer(&mut *out, &line(result))?;
        writeln!(out)?;
    }
    Ok(())
}

/// Writes the results as a table.
pub fn write_table<W>(results: &[PolicyResult], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    writeln!(
        out,
        "{:<15} {:<10} {:<8} {:>9} {:>9} {:>10} {:>6} {:>9} {:>8} {:>6} {:>6}  kinds",
        "scenario",
        "policy",
        "weights",
        "mean s",
        "p95 s",
        "large p95",
        "frag",
        "reclaim s",
        "reclaims",
        "stops",
        "viol"
    )?;
    for result in results {
        let l = line(result);
        write!(
            out,
            "{:<15} {:<10} {:<8} {:>9.1} {:>9.1} {:>10.1} {:>6.4} {:>9.3} {:>8} {:>6} {:>6} ",
            l.scenario,
            l.policy,
            l.weights,
            l.mean_completion_s,
            l.p95_completion_s,
            l.large_wait_p95_s,
            l.fragmentation,
            l.reclaim_p99_s,
            l.reclaims,
            l.stops,
            l.violations
        )?;
        for (violation, count) in l.violation_kinds {
            write!(out, " {violation:?}:{count}")?;
        }
        writeln!(out)?;
    }
    Ok(())
}

/// Writes for each target whether it is met, and how many are.
pub fn write_targets<W>(results: &[PolicyResult], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let targets = targets(results);
    let mut met = 0;
    for target in &targets {
        met += usize::from(target.is_met());
        let verdict = if target.is_met() { "held" } else { "missed" };
        writeln!(
            out,
            "{verdict:<6} {:<45} {:>10.4} of at most {:>10.4}{}",
            target.name,
            target.value,
            target.max,
            if target.lower_bound > target.max {
                ", which no policy can hold"
            } else {
                ""
            }
        )?;
    }
    writeln!(out, "{met} of {} targets held", targets.len())
}
