//! Where the leader spends its time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

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
    /// Time and processor time of the process at the last log line.
    last: RefCell<(Instant, Duration)>,
}

impl LoadMeter {
    /// A meter that also records each activity in `metrics`.
    pub fn new(metrics: Rc<InstanceMetrics>) -> Self {
        Self {
            metrics,
            spent: RefCell::default(),
            jobs_read: Cell::default(),
            last: RefCell::new((Instant::now(), processor_time())),
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

    /// Logs the sums and starts again from zero.
    pub fn log(&self) {
        let spent = std::mem::take(&mut *self.spent.borrow_mut());
        let ms = |activity| spent.get(&activity).map_or(0, Duration::as_millis) as u64;
        let (jobs_read, read_delay) = self.jobs_read.take();
        let (now, processor) = (Instant::now(), processor_time());
        let (since, processor_before) = self.last.replace((now, processor));
        let span_ms = now.duration_since(since).as_millis() as u64;
        let processor_ms = processor.saturating_sub(processor_before).as_millis() as u64;
        log::info!(
            span_ms,
            processor_ms,
            round_ms = ms(Activity::Round),
            report_ms = ms(Activity::Report),
            answer_ms = ms(Activity::Answer),
            commit_ms = ms(Activity::Commit),
            feed_ms = ms(Activity::Feed),
            jobs_read,
            read_delay_max_ms = read_delay.as_millis() as u64;
            "load of the leader"
        );
    }
}

/// Processor time that this process has used.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
