//! Names of tasks.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Name of a task in an occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskName {
    /// Id of the job.
    pub job: Arc<str>,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u32,
    /// Index of the task within the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let index = number()?;
        let step = number()?;
        let occurrence = number()?;
        let job = parts.next().filter(|job| !job.is_empty()).ok_or(())?;
        Ok(Self {
            job: Arc::from(job),
            occurrence,
            step,
            index,
        })
    }
}
