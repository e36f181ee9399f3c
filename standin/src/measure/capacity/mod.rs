//! What one instance costs, by the size of the pool that it plans.
//!
//! The instance runs in virtual time against stand-ins in the same thread; the processor time of the stand-ins is
//! measured and taken off. Requests over HTTP cost more than the calls here, so their cost is measured apart, against
//! an endpoint behind HTTP.

mod http_cost;
mod instance;
mod metered_link;

use clap::Args;
use cpu_time::ThreadTime;
use miette::Result;
use serde::Serialize;
use yuccaridge::time::Millis;

use instance::Site;
use metered_link::Counts;

/// Tasks for each endpoint, as at the target size of 1,300 endpoints and 5,600 tasks.
const TASKS_PER_ENDPOINT: f64 = 5600.0 / 1300.0;
/// Virtual time that is measured, in seconds.
const STEADY_S: u64 = 120;
/// Jobs that are run one by one.
const CHURN_JOBS: usize = 20;

/// Options of `measure capacity`.
#[derive(Debug, Clone, Args)]
pub struct CapacityArgs {
    /// Endpoints in the pool, one run for each number
    #[arg(long = "workers", value_delimiter = ',', default_values_t = [50, 100, 200, 400])]
    pub endpoints: Vec<u16>,
    /// Print one JSON object a line
    #[arg(long)]
    pub json: bool,
}

/// Cost at one size; rates are for each second of steady running.
#[derive(Debug, Clone, Serialize)]
struct Row {
    #[serde(rename = "workers")]
    endpoints: u16,
    tasks: usize,
    /// Processor time without HTTP, in milliseconds.
    cpu_ms: f64,
    #[serde(rename = "worker_requests")]
    endpoint_requests: f64,
    #[serde(rename = "worker_bytes")]
    endpoint_bytes: f64,
    reads: f64,
    commits: f64,
    table_bytes: f64,
    list_bytes: f64,
    /// Processor time of one short job from submission to end beyond the steady cost, in milliseconds.
    job_cpu_ms: f64,
    job_commits: f64,
}

fn measure(endpoints: u16) -> Result<Row> {
    let mut site = Site::start(endpoints)?;
    let tasks = site.fill((f64::from(endpoints) * TASKS_PER_ENDPOINT) as usize)?;
    let steady = timed(&mut site, |site| {
        site.run_for(Millis::from_secs(STEADY_S));
        Ok(())
    })?;
    let churn = timed(&mut site, |site| site.churn(CHURN_JOBS))?;
    let seconds = STEADY_S as f64;
    let per_second = |count: u64| count as f64 / seconds;
    let jobs = CHURN_JOBS as f64;
    // A session renewal is written each second whether jobs run or not.
    let renewals = churn.seconds * per_second(steady.counts.commits);
    Ok(Row {
        endpoints,
        tasks,
        cpu_ms: steady.cpu_ms / seconds,
        endpoint_requests: per_second(steady.counts.endpoint_requests),
        endpoint_bytes: per_second(steady.counts.endpoint_bytes),
        reads: per_second(steady.counts.reads),
        commits: per_second(steady.counts.commits),
        table_bytes: per_second(steady.counts.table_bytes),
        list_bytes: per_second(steady.counts.list_bytes),
        job_cpu_ms: (churn.cpu_ms - churn.seconds * steady.cpu_ms / seconds) / jobs,
        job_commits: (churn.counts.commits as f64 - renewals) / jobs,
    })
}

struct Timed {
    cpu_ms: f64,
    seconds: f64,
    counts: Counts,
}

fn timed<F>(site: &mut Site, f: F) -> Result<Timed>
where
    F: FnOnce(&mut Site) -> Result<()>,
{
    site.meter.take();
    let (start, virtual_start) = (ThreadTime::now(), site.now());
    f(site)?;
    let counts = site.meter.take();
    let cpu_ms = start.elapsed().saturating_sub(counts.outside).as_secs_f64() * 1000.0;
    Ok(Timed {
        cpu_ms,
        seconds: site.now().since(virtual_start).as_secs_f64(),
        counts,
    })
}

/// Least squares line through the points: value at zero and slope.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (x, y) = points
        .iter()
        .fold((0.0, 0.0), |sum, point| (sum.0 + point.0, sum.1 + point.1));
    let (x, y) = (x / count, y / count);
    let (mut xy, mut xx) = (0.0, 0.0);
    for point in points {
        xy += (point.0 - x) * (point.1 - y);
        xx += (point.0 - x).powi(2);
    }
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    (y - slope * x, slope)
}

impl CapacityArgs {
    /// Measures and prints.
    pub fn run(&self) -> Result<()> {
        let mut rows = Vec::new();
        for endpoints in &self.endpoints {
            let row = measure(*endpoints)?;
            if self.json {
                println!("{}", serde_json::json!(row));
            }
            rows.push(row);
        }
        let wire = http_cost::measure()?;
        if self.json {
            println!("{}", serde_json::json!(wire));
            return Ok(());
        }
        print(&rows);
        println!("\nOne HTTP request to an endpoint (report with {} tasks):", wire.tasks);
        println!(
            "  {:.3} ms of processor time, {} bytes on the wire",
            wire.cpu_ms, wire.bytes
        );
        Ok(())
    }
}

type Column = (&'static str, fn(&Row) -> f64);

fn print(rows: &[Row]) {
    println!(
        "endpoints   tasks   cpu ms/s  endpoint req/s  endpoint B/s  reads/s  commits/s  table B/s  list B/s  job cpu ms  job commits"
    );
    for row in rows {
        println!(
            "{:>9} {:>7} {:>10.3} {:>15.1} {:>13.0} {:>8.2} {:>10.2} {:>10.0} {:>9.0} {:>11.3} {:>12.2}",
            row.endpoints,
            row.tasks,
            row.cpu_ms,
            row.endpoint_requests,
            row.endpoint_bytes,
            row.reads,
            row.commits,
            row.table_bytes,
            row.list_bytes,
            row.job_cpu_ms,
            row.job_commits
        );
    }
    println!("\nSlope for each endpoint, and value without endpoints:");
    let columns: [Column; 7] = [
        ("cpu ms/s", |row| row.cpu_ms),
        ("endpoint requests/s", |row| row.endpoint_requests),
        ("endpoint bytes/s", |row| row.endpoint_bytes),
        ("reads/s", |row| row.reads),
        ("commits/s", |row| row.commits),
        ("table bytes/s", |row| row.table_bytes),
        ("list bytes/s", |row| row.list_bytes),
    ];
    for (name, column) in columns {
        let points: Vec<_> = rows.iter().map(|row| (f64::from(row.endpoints), column(row))).collect();
        let (zero, slope) = line(&points);
        println!("  {name:<20} {slope:>12.5} {zero:>12.3}");
    }
}
