//! Sends requests at a fixed rate.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use yuccaridge::name::NameError;

use super::mix::Mix;
use super::report::{LoadReport, TimeStats};
use super::sender::Sender;
use super::tally::{Tally, time_histogram};

/// Maximum time between checks whether the run has finished.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Flaws found so far.
    pub flaws: u64,
    /// Latencies of the requests completed since the previous progress report.
    pub recent: TimeStats,
}

/// A load run.
#[derive(Debug, Clone)]
pub struct Load {
    /// Distribution of the requests.
    pub mix: Mix,
    /// Requests per second.
    pub rate: f64,
    /// Number of requests.
    pub requests: u64,
    /// Maximum number of concurrent requests, each on its own thread.
    pub threads: usize,
    /// Time between progress reports.
    pub interval: Duration,
}

struct State {
    start: Instant,
    next: AtomicU64,
    sent: AtomicU64,
    finished: AtomicBool,
    tally: Mutex<Tally>,
    lateness: Mutex<Histogram<u64>>,
}

impl State {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lateness(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.lateness.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load {
    /// Sends all requests and waits for their results.
    pub fn run<S, P>(&self, sender: &S, progress: P) -> Result<LoadReport, NameError>
    where
        S: Sender,
        P: Fn(Progress) + Sync,
    {
        // Fails before anything is sent if the name of the run does not form valid job ids.
        self.mix.request(self.requests)?;
        let state = State {
            start: Instant::now(),
            next: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            finished: AtomicBool::new(false),
            tally: Mutex::new(Tally::new()),
            lateness: Mutex::new(time_histogram()),
        };
        let send_time = thread::scope(|scope| {
            let senders: Vec<_> = (0..self.threads.max(1))
                .map(|_| scope.spawn(|| self.send_all(sender, &state)))
                .collect();
            scope.spawn(|| self.report_progress(&state, &progress));
            let last = senders.into_iter().filter_map(|sender| sender.join().ok()).max();
            state.finished.store(true, Ordering::Relaxed);
            last.unwrap_or_default()
        });
        let tally = state.tally();
        let mut report = LoadReport {
            run: self.mix.run.clone(),
            seed: self.mix.seed,
            rate: self.rate,
            achieved_rate: self.requests as f64 / (send_time.as_secs_f64() + 1.0 / self.rate),
            requests: 0,
            lateness: TimeStats::from_histogram(&state.lateness()),
            by_type: BTreeMap::new(),
            flaw_counts: BTreeMap::new(),
            flaws: Vec::new(),
            refusals: BTreeMap::new(),
        };
        report.fill(&tally);
        Ok(report)
    }

    /// Sends requests until none are left; returns when the last one was sent, relative to the start.
    fn send_all<S>(&self, sender: &S, state: &State) -> Duration
    where
        S: Sender,
    {
        let mut last = Duration::ZERO;
        loop {
            let number = state.next.fetch_add(1, Ordering::Relaxed);
            let Some(request) = (number < self.requests)
                .then(|| self.mix.request(number).ok())
                .flatten()
            else {
                return last;
            };
            let due = state.start + Duration::from_secs_f64(number as f64 / self.rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            last = state.start.elapsed();
            state.sent.fetch_add(1, Ordering::Relaxed);
            let lateness = due.elapsed().as_micros() as u64;
            state.lateness().saturating_record(lateness);
            let result = sender.send(&request, due);
            state
                .tally()
                .add(&request.id, request.request_type, due.elapsed(), result);
        }
    }

    fn report_progress<P>(&self, state: &State, progress: &P)
    where
        P: Fn(Progress),
    {
        let mut last_report = state.start;
        while !state.finished.load(Ordering::Relaxed) {
            thread::sleep(FINISH_CHECK_INTERVAL.min(self.interval));
            if last_report.elapsed() < self.interval {
                continue;
            }
            last_report = Instant::now();
            let mut tally = state.tally();
            let recent = TimeStats::from_histogram(&tally.recent);
            tally.recent.reset();
            let now = Progress {
                elapsed: state.start.elapsed(),
                sent: state.sent.load(Ordering::Relaxed),
                ended: tally.ended,
                flaws: tally.flaw_counts.values().sum(),
                recent,
            };
            drop(tally);
            progress(now);
        }
    }
}
