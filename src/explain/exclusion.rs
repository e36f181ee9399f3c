//! Reasons for which an endpoint may not be taken.

use std::fmt;

use serde::Serialize;

/// First reason for which an endpoint may not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// It belongs to another pool.
    OtherPool,
    /// It is no longer in the list of endpoints.
    Unlisted,
    /// Its failure domain is closed.
    DomainClosed,
    /// It leaves the pool.
    Draining,
    /// It has not answered several holds in a row.
    NoAnswer,
    /// It has not reported to this leader yet.
    NoReport,
    /// It runs tasks that this leader does not expect there.
    UnexpectedRuns,
    /// It takes no work for a while after failed runs or refused orders.
    Quarantined,
    /// It is slower than the unit accepts.
    Slow,
    /// It lacks the label of the step.
    Label,
    /// The unit has failed there.
    Avoided,
    /// It is not in the rack that holds the data.
    Rack,
    /// The advice service has given no valid ticket for it.
    NoTicket,
    /// It is kept for a gang that the job would delay.
    Reserved,
    /// It is left empty for work of higher priority.
    KeptEmpty,
    /// It already has as many tasks of the step as may run on one endpoint.
    StepLimit,
    /// Too few accelerators are available.
    Accelerators,
    /// Too little memory is available.
    Memory,
    /// Too few cores are available.
    Cores,
}

impl Exclusion {
    /// Short phrase for the text form.
    fn phrase(self) -> &'static str {
        match self {
            Self::OtherPool => "in another pool",
            Self::Unlisted => "no longer listed",
            Self::DomainClosed => "failure domain closed",
            Self::Draining => "leaving",
            Self::NoAnswer => "no answer",
            Self::NoReport => "no report yet",
            Self::UnexpectedRuns => "unexpected runs",
            Self::Quarantined => "quarantined",
            Self::Slow => "too slow",
            Self::Label => "label missing",
            Self::Avoided => "unit failed there",
            Self::Rack => "not in the rack of the data",
            Self::NoTicket => "no advice ticket",
            Self::Reserved => "reserved for a gang",
            Self::KeptEmpty => "left empty for higher priorities",
            Self::StepLimit => "limit of the step reached",
            Self::Accelerators => "too few accelerators",
            Self::Memory => "too little memory",
            Self::Cores => "too few cores",
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.phrase())
    }
}
