//! Log writer that never blocks and limits the rate of lines.
//!
//! Lines are passed to a thread over a bounded channel. If the channel is full, the line is dropped and counted, so
//! that a slow reader of standard output never delays a decision. Each kind of line, identified by its text without
//! fields, or by its target if the text is formatted, has a rate limit of its own; the lines above the limit are
//! counted, and the count is logged.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use flume::{Receiver, Sender, TrySendError};
use log::Record;

/// Limit on queued lines; a line has about 300 bytes.
const QUEUED_LINES_MAX: usize = 2_048;

/// Limit on lines of one kind in a window. The most frequent kind at the users' larger sites has about 100 a second.
const LINES_PER_WINDOW_MAX: u32 = 400;

/// Time over which the lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of each kind in the current window.
#[derive(Debug, Default)]
struct KindCounts {
    since: Option<Instant>,
    counts: BTreeMap<String, u32>,
}

/// Writes JSON lines through a thread of its own, without blocking the caller.
pub(super) struct BoundedWriter {
    lines: Mutex<Option<Sender<Vec<u8>>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    kinds: Mutex<KindCounts>,
    dropped: AtomicU64,
}

impl fmt::Debug for BoundedWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedWriter").finish_non_exhaustive()
    }
}

impl BoundedWriter {
    /// Starts the thread, which writes to `to`.
    pub fn start<W>(to: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = flume::bounded(QUEUED_LINES_MAX);
        let writer = std::thread::spawn(move || write_queued(&queue, to));
        Self {
            lines: Mutex::new(Some(lines)),
            writer: Mutex::new(Some(writer)),
            kinds: Mutex::default(),
            dropped: AtomicU64::new(0),
        }
    }

    /// Counts a line of a kind. Returns the kinds above the limit in the last window with the number of their
    /// suppressed lines, and whether this line may be written.
    fn admit(&self, kind: &str) -> (Vec<(String, u32)>, bool) {
        let Ok(mut kinds) = self.kinds.lock() else {
            return (Vec::new(), true);
        };
        let now = Instant::now();
        let mut suppressed = Vec::new();
        if kinds.since.is_none_or(|since| now.duration_since(since) >= WINDOW) {
            kinds.since = Some(now);
            for (kind, count) in std::mem::take(&mut kinds.counts) {
                if count > LINES_PER_WINDOW_MAX {
                    suppressed.push((kind, count - LINES_PER_WINDOW_MAX));
                }
            }
        }
        let count = match kinds.counts.get_mut(kind) {
            Some(count) => count,
            None => kinds.counts.entry(kind.to_owned()).or_default(),
        };
        *count += 1;
        (suppressed, *count <= LINES_PER_WINDOW_MAX)
    }

    fn send(&self, line: Vec<u8>) {
        let Ok(lines) = self.lines.lock() else { return };
        let Some(sender) = &*lines else { return };
        if let Err(TrySendError::Full(_)) = sender.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_queued<W>(queue: &Receiver<Vec<u8>>, mut to: W)
where
    W: Write,
{
    while let Ok(first) = queue.recv() {
        let mut batch = first;
        while let Ok(next) = queue.try_recv() {
            batch.extend_from_slice(&next);
        }
        // A closed standard output must not end the process, and the error cannot be reported anywhere else.
        if to.write_all(&batch).and_then(|()| to.flush()).is_err() {
            return;
        }
    }
}

/// Formats a line about suppressed or dropped lines.
fn summary_line(text: &str, kind: &str, count: u64) -> Vec<u8> {
    let line = serde_json::json!({"level": "WARN", "kv": {"kind": kind, "count": count}, "text": text});
    format!("{line}\n").into_bytes()
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let kind = record
            .args()
            .as_str()
            .map_or_else(|| record.target().to_owned(), str::to_owned);
        let (suppressed, admitted) = self.admit(&kind);
        for (kind, count) in suppressed {
            self.send(summary_line(
                "suppressed log lines above the rate limit of their kind",
                &kind,
                u64::from(count),
            ));
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.send(summary_line(
                "dropped log lines because the reader of standard output was too slow",
                "any",
                dropped,
            ));
        }
        if admitted {
            let mut line = Vec::with_capacity(320);
            json_format(&mut line, now, record)?;
            line.push(b'\n');
            self.send(line);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn shutdown(&self) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.take();
        }
        let writer = self.writer.lock().ok().and_then(|mut writer| writer.take());
        if let Some(Err(_)) = writer.map(JoinHandle::join) {
            eprintln!("the log writer thread has panicked");
        }
    }
}
