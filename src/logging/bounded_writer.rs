//! A bounded way to standard output.
//!
//! Lines are handed to a thread over a bounded channel. A full channel drops the line and counts it, so that a slow reader
//! never holds up a decision. Each kind of line, told by its text without fields, has a rate of its own; what is above it
//! is counted and the count is written.

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

/// Lines that may wait for the reader; about 300 bytes each.
const WAITING_MAX: usize = 2_048;

/// Lines of one kind in a second. The busiest kind of the users' larger sites has about 100 a second.
const RATE: u32 = 400;

/// Time over which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Kinds {
    since: Option<Instant>,
    counts: BTreeMap<String, u32>,
}

/// Writes JSON lines to standard output without ever waiting for it.
pub(super) struct Outlet {
    lines: Mutex<Option<Sender<Vec<u8>>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    kinds: Mutex<Kinds>,
    dropped: AtomicU64,
}

impl fmt::Debug for Outlet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outlet").finish_non_exhaustive()
    }
}

impl Outlet {
    /// Starts the thread that writes to `to`.
    pub fn start<W>(to: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, waiting) = flume::bounded(WAITING_MAX);
        let writer = std::thread::spawn(move || drain(&waiting, to));
        Self {
            lines: Mutex::new(Some(lines)),
            writer: Mutex::new(Some(writer)),
            kinds: Mutex::default(),
            dropped: AtomicU64::new(0),
        }
    }

    /// Counts a line of a kind; returns what was left out in the last window, and whether the line may be written.
    fn admit(&self, kind: &str) -> (Vec<(String, u32)>, bool) {
        let Ok(mut kinds) = self.kinds.lock() else {
            return (Vec::new(), true);
        };
        let now = Instant::now();
        let mut left_out = Vec::new();
        if kinds.since.is_none_or(|since| now.duration_since(since) >= WINDOW) {
            kinds.since = Some(now);
            for (kind, count) in std::mem::take(&mut kinds.counts) {
                if count > RATE {
                    left_out.push((kind, count - RATE));
                }
            }
        }
        let count = match kinds.counts.get_mut(kind) {
            Some(count) => count,
            None => kinds.counts.entry(kind.to_owned()).or_default(),
        };
        *count += 1;
        (left_out, *count <= RATE)
    }

    fn send(&self, line: Vec<u8>) {
        let Ok(lines) = self.lines.lock() else { return };
        let Some(sender) = &*lines else { return };
        if let Err(TrySendError::Full(_)) = sender.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn drain<W>(waiting: &Receiver<Vec<u8>>, mut to: W)
where
    W: Write,
{
    while let Ok(first) = waiting.recv() {
        let mut batch = first;
        while let Ok(next) = waiting.try_recv() {
            batch.extend_from_slice(&next);
        }
        // A closed standard output must not end the process, and there is nowhere left to report it.
        if to.write_all(&batch).and_then(|()| to.flush()).is_err() {
            return;
        }
    }
}

/// A line about the log itself.
fn note(text: &str, kind: &str, count: u64) -> Vec<u8> {
    let line = serde_json::json!({"level": "WARN", "kv": {"kind": kind, "count": count}, "text": text});
    format!("{line}\n").into_bytes()
}

impl LogWriter for Outlet {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let kind = record
            .args()
            .as_str()
            .map_or_else(|| record.target().to_owned(), str::to_owned);
        let (left_out, admitted) = self.admit(&kind);
        for (kind, count) in left_out {
            self.send(note("lines above the rate left out", &kind, u64::from(count)));
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.send(note("lines dropped because the reader was slow", "any", dropped));
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
            eprintln!("the thread that writes the log has panicked");
        }
    }
}
