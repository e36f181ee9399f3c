//! Prints figures as a table or as JSON lines, and the targets.

use std::collections::BTreeMap;
use std::io::{self, Write};

use serde::Serialize;

use super::policy::Row;
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

fn line(row: &Row) -> Line<'_> {
    let s = &row.summary;
    Line {
        scenario: row.scenario.name(),
        policy: row.contender.name(),
        weights: row.contender.weights(),
        seeds: row.seeds,
        mean_completion_s: s.mean,
        p95_completion_s: s.p95,
        large_wait_p95_s: s.wait,
        fragmentation: s.fragmentation,
        reclaim_p99_s: s.reclaim,
        reclaims: s.claims,
        stops: s.stops,
        violations: s.broken(),
        violation_kinds: &s.violations,
    }
}

/// Writes all rows, one JSON object a line.
pub fn write_json<W>(rows: &[Row], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    for row in rows {
        serde_json::to_writer(&mut *out, &line(row))?;
        writeln!(out)?;
    }
    Ok(())
}

/// Writes all rows as a table.
pub fn write_table<W>(rows: &[Row], out: &mut W) -> io::Result<()>
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
    for row in rows {
        let l = line(row);
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

/// Writes each target with its verdict.
pub fn write_targets<W>(rows: &[Row], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let targets = targets(rows);
    let mut held = 0;
    for target in &targets {
        held += usize::from(target.held());
        let verdict = if target.held() { "held" } else { "missed" };
        writeln!(
            out,
            "{verdict:<6} {:<45} {:>10.4} of at most {:>10.4}{}",
            target.name,
            target.value,
            target.bound,
            if target.floor > target.bound {
                ", which no policy can hold"
            } else {
                ""
            }
        )?;
    }
    writeln!(out, "{held} of {} targets held", targets.len())
}
