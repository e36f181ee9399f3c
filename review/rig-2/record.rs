//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Adds a line with the time, who did it, and what.
    pub fn write(&self, who: &str, what: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written does not change the result.
        let _ = writeln!(file, "{seconds:8.3} {who}: {what}");
        let _ = file.flush();
    }
}
