//! Where the leader spends its time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::metric::InstanceMetrics;

/// Activity of the leader whose time is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Activity {
    /// Checks of leases and orders, and scheduling rounds.
    Round,
    /// Reports of endpoints.
    Report,
    /// Answers to start and stop orders.
    Answer,
    /// Making and applying transactions.
    Commit,
    /// Rows of jobs and endpoints.
    Feed,
}

impl Activity {
    /// Value of the label in metrics and logs.
    fn label(self) -> &'static str {
        match self {
            Self::Round => "round",
            Self::Report => "report",
            Self::Answer => "answer",
            Self::Commit => "commit",
            Self::Feed => "feed",
        }
    }
}

/// Sums of the time spent in each activity since the last log line.
#[derive(Debug)]
pub(super) struct LoadMeter {
    metrics: Rc<InstanceMetrics>,
    spent: RefCell<BTreeMap<Activity, Duration>>,
    /// Number of accepted jobs that were read since the last log line, and the longest time since their acceptance.
    jobs_read: Cell<(u64, Duration)>,
    /// Longest delay of a timer since the last log line.
    timer_delay: Cell<Duration>,
    /// Time of the last log line.
    last: Cell<Instant>,
}

impl LoadMeter {
    /// A meter that also records each activity in `metrics`.
    pub fn new(metrics: Rc<InstanceMetrics>) -> Self {
        Self {
            metrics,
            spent: RefCell::default(),
            jobs_read: Cell::default(),
            timer_delay: Cell::default(),
            last: Cell::new(Instant::now()),
        }
    }

    /// Runs `work` and adds its time to `activity`.
    pub fn time<T, F>(&self, activity: Activity, work: F) -> T
    where
        F: FnOnce() -> T,
    {
        let begun = Instant::now();
        let result = work();
        let took = begun.elapsed();
        *self.spent.borrow_mut().entry(activity).or_default() += took;
        self.metrics.record_activity(activity.label(), took);
        result
    }

    /// Records that a job was read `delay` after it was accepted.
    pub fn record_job_read(&self, delay: Duration) {
        let (count, longest) = self.jobs_read.get();
        self.jobs_read.set((count + 1, longest.max(delay)));
        self.metrics.record_job_read(delay);
    }

    /// Records how late a timer fired.
    pub fn record_timer_delay(&self, delay: Duration) {
        self.timer_delay.set(self.timer_delay.get().max(delay));
    }

    /// Logs the sums and starts again from zero.
    pub fn log(&self) {
        let spent = std::mem::take(&mut *self.spent.borrow_mut());
        let ms = |activity| spent.get(&activity).map_or(0, Duration::as_millis) as u64;
        let (jobs_read, read_delay) = self.jobs_read.take();
        let now = Instant::now();
        let span_ms = now.duration_since(self.last.replace(now)).as_millis() as u64;
        log::info!(
            span_ms,
            round_ms = ms(Activity::Round),
            report_ms = ms(Activity::Report),
            answer_ms = ms(Activity::Answer),
            commit_ms = ms(Activity::Commit),
            feed_ms = ms(Activity::Feed),
            jobs_read,
            read_delay_max_ms = read_delay.as_millis() as u64,
            timer_delay_max_ms = self.timer_delay.take().as_millis() as u64;
            "load of the leader"
        );
    }
}
