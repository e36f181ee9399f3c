//! The subcommand `standin load`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use miette::{IntoDiagnostic, Result, bail, ensure};
use standin::load::{DirectSender, HttpSender, Load, LoadReport, Mix, Progress};
use yuccaridge::name::{KindName, PoolName, TeamName};
use yuccaridge::platform::Address;

/// Time between lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Options of `standin load`.
#[derive(Debug, Args)]
pub struct LoadOptions {
    /// Instances to send to, in round-robin order.
    #[arg(long, value_delimiter = ',', required_unless_present = "direct")]
    targets: Vec<Address>,
    /// Endpoint to send calls to directly, for comparison; sends no batch jobs.
    #[arg(long, conflicts_with = "targets")]
    direct: Option<Address>,
    /// Requests per second.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Duration of the run, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Share of calls among the requests, from 0 to 1; the others are batch jobs.
    #[arg(long, default_value_t = 0.9)]
    calls_share: f64,
    /// Share of requests that must run at most once, from 0 to 1.
    #[arg(long, default_value_t = 0.1)]
    non_idempotent_share: f64,
    /// Teams to which the requests belong, chosen at random.
    #[arg(long, value_delimiter = ',', default_value = "load")]
    teams: Vec<TeamName>,
    /// Kind of the calls.
    #[arg(long, default_value = "query")]
    call_kind: KindName,
    /// Kind of the batch jobs.
    #[arg(long, default_value = "plan")]
    batch_kind: KindName,
    /// Pool of the batch jobs; chosen by the system if absent.
    #[arg(long)]
    pool: Option<PoolName>,
    /// Work of a call at speed 1, in milliseconds.
    #[arg(long, default_value_t = 5)]
    call_ms: u64,
    /// Number of parts in a call's answer.
    #[arg(long, default_value_t = 1)]
    parts: u32,
    /// Work of a batch job at speed 1, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    batch_ms: u64,
    /// Gang sizes of the batch jobs, chosen at random.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    members: Vec<u16>,
    /// Accelerators of each member of a batch job.
    #[arg(long, default_value_t = 1)]
    accelerators: u16,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 256)]
    threads: usize,
    /// Time after which a request without a final outcome counts as missing, in seconds.
    #[arg(long, default_value_t = 60)]
    patience: u64,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Name of the run, the prefix of all job ids; unique if absent.
    #[arg(long)]
    run: Option<String>,
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
}

impl LoadOptions {
    /// Generates the load and prints the report to standard output and progress to standard error.
    pub fn run(&self) -> Result<()> {
        let load = self.load()?;
        let patience = Duration::from_secs(self.patience);
        let report = match self.direct {
            Some(endpoint) => load.run(&DirectSender::new(endpoint, patience), print_progress),
            None => load.run(&HttpSender::new(self.targets.clone(), patience), print_progress),
        };
        self.print(&report.into_diagnostic()?)
    }

    fn print(&self, report: &LoadReport) -> Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(report).into_diagnostic()?);
        } else {
            print!("{report}");
        }
        if !report.is_clean() {
            bail!("some answers are wrong or missing");
        }
        Ok(())
    }

    fn load(&self) -> Result<Load> {
        let shares = [self.calls_share, self.non_idempotent_share];
        ensure!(
            shares.iter().all(|share| (0.0..=1.0).contains(share)),
            "--calls-share and --non-idempotent-share must be from 0 to 1"
        );
        ensure!(
            self.rate > 0.0 && self.seconds > 0.0,
            "--rate and --seconds must be greater than 0"
        );
        ensure!(self.parts > 0, "--parts must be at least 1");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).into_diagnostic()?;
        let run = self
            .run
            .clone()
            .unwrap_or_else(|| format!("load-{:x}", since_epoch.as_millis()));
        Ok(Load {
            mix: Mix {
                run,
                seed: self.seed,
                calls_share: if self.direct.is_some() { 1.0 } else { self.calls_share },
                non_idempotent_share: self.non_idempotent_share,
                teams: self.teams.clone(),
                call_kind: self.call_kind.clone(),
                batch_kind: self.batch_kind.clone(),
                pool: self.pool.clone(),
                call_ms: self.call_ms,
                parts: self.parts,
                batch_ms: self.batch_ms,
                members: self.members.clone(),
                accelerators: self.accelerators,
            },
            rate: self.rate,
            requests: (self.rate * self.seconds).ceil() as u64,
            threads: self.threads,
            interval: PROGRESS_INTERVAL,
        })
    }
}

fn print_progress(progress: Progress) {
    let Progress {
        elapsed,
        sent,
        ended,
        flaws,
        recent,
    } = progress;
    let elapsed = elapsed.as_secs_f64();
    eprintln!(
        "{elapsed:6.1} s  sent {sent}  ended {ended}  flaws {flaws}  recently completed: p50 {:.2}  p99 {:.2} ms",
        recent.p50, recent.p99
    );
}
