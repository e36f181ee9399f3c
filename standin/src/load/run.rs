//! Sends requests at a set rate.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use yuccaridge::name::NameError;

use super::mix::Mix;
use super::report::{LoadReport, Times};
use super::sender::Sender;
use super::tally::{Tally, times};

/// Pause between two looks whether the run is over.
const PROGRESS_POLL: Duration = Duration::from_millis(20);

/// How a run stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Flaws found.
    pub flaws: u64,
    /// Times of the requests that completed since the last progress.
    pub recent: Times,
}

/// A load run.
#[derive(Debug, Clone)]
pub struct Load {
    /// What to send.
    pub mix: Mix,
    /// Requests a second.
    pub rate: f64,
    /// Number of requests.
    pub requests: u64,
    /// Requests under way at once, each on a thread of its own.
    pub threads: usize,
    /// Time between two reports of progress.
    pub interval: Duration,
}

struct State {
    start: Instant,
    next: AtomicU64,
    sent: AtomicU64,
    over: AtomicBool,
    tally: Mutex<Tally>,
    late: Mutex<Histogram<u64>>,
}

impl State {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn late(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load {
    /// Sends all requests and waits for their ends.
    pub fn run<S, P>(&self, sender: &S, progress: P) -> Result<LoadReport, NameError>
    where
        S: Sender,
        P: Fn(Progress) + Sync,
    {
        // Fails before anything is sent if the run's name makes no id.
        self.mix.request(self.requests)?;
        let state = State {
            start: Instant::now(),
            next: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            over: AtomicBool::new(false),
            tally: Mutex::new(Tally::new()),
            late: Mutex::new(times()),
        };
        let sent_for = thread::scope(|scope| {
            let senders: Vec<_> = (0..self.threads.max(1))
                .map(|_| scope.spawn(|| self.send_all(sender, &state)))
                .collect();
            scope.spawn(|| self.watch(&state, &progress));
            let last = senders.into_iter().filter_map(|sender| sender.join().ok()).max();
            state.over.store(true, Ordering::Relaxed);
            last.unwrap_or_default()
        });
        let tally = state.tally();
        let mut report = LoadReport {
            run: self.mix.run.clone(),
            seed: self.mix.seed,
            rate: self.rate,
            reached: self.requests as f64 / (sent_for.as_secs_f64() + 1.0 / self.rate),
            requests: 0,
            lateness: Times::of(&state.late()),
            sorts: BTreeMap::new(),
            flaw_counts: BTreeMap::new(),
            flaws: Vec::new(),
            refusals: BTreeMap::new(),
        };
        report.fill(&tally);
        Ok(report)
    }

    /// Sends requests until there are none left; the time at which the last one was sent.
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
            let late = due.elapsed().as_micros() as u64;
            state.late().saturating_record(late);
            let ending = sender.send(&request, due);
            state.tally().add(&request.id, request.sort, due.elapsed(), ending);
        }
    }

    fn watch<P>(&self, state: &State, progress: &P)
    where
        P: Fn(Progress),
    {
        let mut shown = state.start;
        while !state.over.load(Ordering::Relaxed) {
            thread::sleep(PROGRESS_POLL.min(self.interval));
            if shown.elapsed() < self.interval {
                continue;
            }
            shown = Instant::now();
            let mut tally = state.tally();
            let recent = Times::of(&tally.recent);
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
