//! Cost of one instance for pools of different sizes.
//!
//! The instance runs in virtual time against stand-ins in the same thread; their CPU time is measured and subtracted.
//! Requests over HTTP cost more than these direct calls, so their cost is measured separately, against an endpoint that
//! is served over HTTP.

mod http_cost;
mod instance;
mod metered_link;

use clap::Args;
use cpu_time::ThreadTime;
use miette::Result;
use serde::Serialize;
use yuccaridge::time::Millis;

use instance::MeasuredInstance;
use metered_link::RequestCounts;

/// Tasks per endpoint, as at the target size of 1,300 endpoints and 5,600 tasks.
const TASKS_PER_ENDPOINT: f64 = 5600.0 / 1300.0;
/// Measured virtual time of steady operation, in seconds.
const STEADY_RUN_S: u64 = 120;
/// Number of short jobs that are run one after the other.
const SHORT_JOBS: usize = 20;

/// Options of `measure capacity`.
#[derive(Debug, Clone, Args)]
pub struct CapacityArgs {
    /// Number of endpoints in the pool; one run for each number
    #[arg(long = "workers", value_delimiter = ',', default_values_t = [50, 100, 200, 400])]
    pub endpoints: Vec<u16>,
    /// Print one JSON object per line
    #[arg(long)]
    pub json: bool,
}

/// Cost with a pool of one size; rates are per second of steady operation.
#[derive(Debug, Clone, Serialize)]
struct InstanceCost {
    #[serde(rename = "workers")]
    endpoints: u16,
    tasks: usize,
    /// CPU time without HTTP, in milliseconds.
    cpu_ms: f64,
    #[serde(rename = "worker_requests")]
    endpoint_requests: f64,
    #[serde(rename = "worker_bytes")]
    endpoint_bytes: f64,
    reads: f64,
    commits: f64,
    table_bytes: f64,
    list_bytes: f64,
    /// CPU time of one short job from submission to end, in addition to the steady cost, in milliseconds.
    job_cpu_ms: f64,
    job_commits: f64,
}

fn measure_instance(endpoints: u16) -> Result<InstanceCost> {
    let mut instance = MeasuredInstance::start(endpoints)?;
    let tasks = instance.fill((f64::from(endpoints) * TASKS_PER_ENDPOINT) as usize)?;
    let steady_run = measure_phase(&mut instance, |instance| {
        instance.run_for(Millis::from_secs(STEADY_RUN_S));
        Ok(())
    })?;
    let short_jobs = measure_phase(&mut instance, |instance| instance.run_short_jobs(SHORT_JOBS))?;
    let seconds = STEADY_RUN_S as f64;
    let per_second = |count: u64| count as f64 / seconds;
    let jobs = SHORT_JOBS as f64;
    // The session is renewed by a commit each second, whether jobs run or not.
    let renewals = short_jobs.seconds * per_second(steady_run.counts.commits);
    Ok(InstanceCost {
        endpoints,
        tasks,
        cpu_ms: steady_run.cpu_ms / seconds,
        endpoint_requests: per_second(steady_run.counts.endpoint_requests),
        endpoint_bytes: per_second(steady_run.counts.endpoint_bytes),
        reads: per_second(steady_run.counts.reads),
        commits: per_second(steady_run.counts.commits),
        table_bytes: per_second(steady_run.counts.table_bytes),
        list_bytes: per_second(steady_run.counts.list_bytes),
        job_cpu_ms: (short_jobs.cpu_ms - short_jobs.seconds * steady_run.cpu_ms / seconds) / jobs,
        job_commits: (short_jobs.counts.commits as f64 - renewals) / jobs,
    })
}

struct Measurement {
    cpu_ms: f64,
    seconds: f64,
    counts: RequestCounts,
}

fn measure_phase<F>(instance: &mut MeasuredInstance, phase: F) -> Result<Measurement>
where
    F: FnOnce(&mut MeasuredInstance) -> Result<()>,
{
    instance.metered_link.take();
    let (start, virtual_start) = (ThreadTime::now(), instance.now());
    phase(instance)?;
    let counts = instance.metered_link.take();
    let cpu_ms = start.elapsed().saturating_sub(counts.overhead).as_secs_f64() * 1000.0;
    Ok(Measurement {
        cpu_ms,
        seconds: instance.now().since(virtual_start).as_secs_f64(),
        counts,
    })
}

/// Fits a line by least squares; returns the value at zero and the slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
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
    /// Runs the measurement and prints the results.
    pub fn run(&self) -> Result<()> {
        let mut costs = Vec::new();
        for endpoints in &self.endpoints {
            let cost = measure_instance(*endpoints)?;
            if self.json {
                println!("{}", serde_json::json!(cost));
            }
            costs.push(cost);
        }
        let http_cost = http_cost::measure()?;
        if self.json {
            println!("{}", serde_json::json!(http_cost));
            return Ok(());
        }
        print_costs(&costs);
        println!(
            "\nOne HTTP request to an endpoint (report with {} tasks):",
            http_cost.tasks
        );
        println!(
            "  {:.3} ms of CPU time, {} bytes on the wire",
            http_cost.cpu_ms, http_cost.bytes
        );
        Ok(())
    }
}

type Column = (&'static str, fn(&InstanceCost) -> f64);

fn print_costs(costs: &[InstanceCost]) {
    println!(
        "endpoints   tasks   cpu ms/s  endpoint req/s  endpoint B/s  reads/s  commits/s  table B/s  list B/s  job cpu ms  job commits"
    );
    for cost in costs {
        println!(
            "{:>9} {:>7} {:>10.3} {:>15.1} {:>13.0} {:>8.2} {:>10.2} {:>10.0} {:>9.0} {:>11.3} {:>12.2}",
            cost.endpoints,
            cost.tasks,
            cost.cpu_ms,
            cost.endpoint_requests,
            cost.endpoint_bytes,
            cost.reads,
            cost.commits,
            cost.table_bytes,
            cost.list_bytes,
            cost.job_cpu_ms,
            cost.job_commits
        );
    }
    println!("\nSlope per endpoint, and value without endpoints:");
    let columns: [Column; 7] = [
        ("cpu ms/s", |cost| cost.cpu_ms),
        ("endpoint requests/s", |cost| cost.endpoint_requests),
        ("endpoint bytes/s", |cost| cost.endpoint_bytes),
        ("reads/s", |cost| cost.reads),
        ("commits/s", |cost| cost.commits),
        ("table bytes/s", |cost| cost.table_bytes),
        ("list bytes/s", |cost| cost.list_bytes),
    ];
    for (name, column) in columns {
        let points: Vec<_> = costs
            .iter()
            .map(|cost| (f64::from(cost.endpoints), column(cost)))
            .collect();
        let (intercept, slope) = fit_line(&points);
        println!("  {name:<20} {slope:>12.5} {intercept:>12.3}");
    }
}
