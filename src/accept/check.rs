//! Checks of a job against the configuration.

use super::AcceptError;
use crate::job::{Class, JobSpec};
use crate::team::Catalog;

/// Largest body of a job, in bytes. The body stays in the job's row, which is written up to four times.
pub const BODY_BYTES_MAX: usize = 256 * 1024;
/// Longest run time or deadline that may be declared: a year. Larger values are mistakes, such as milliseconds.
const SECONDS_MAX: u64 = 366 * 24 * 3600;

/// Reads a body.
pub fn parse_spec(body: &[u8]) -> Result<JobSpec, AcceptError> {
    if body.len() > BODY_BYTES_MAX {
        return Err(AcceptError::TooLarge(body.len()));
    }
    serde_json::from_slice(body).map_err(|error| AcceptError::Malformed(error.to_string()))
}

fn refuse<T>(sentence: String) -> Result<T, AcceptError> {
    Err(AcceptError::NotAllowed(sentence))
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Call => "call",
        Class::Batch => "batch",
    }
}

/// Refuses what the configuration does not allow.
pub fn check_spec(catalog: &Catalog, spec: &JobSpec) -> Result<(), AcceptError> {
    spec.shape.check()?;
    for (field, seconds) in [("run_time_s", spec.run_time_s), ("deadline_s", spec.deadline_s)] {
        if seconds > SECONDS_MAX {
            let sentence = format!("`{field}` is {seconds}, but at most {SECONDS_MAX} seconds are allowed");
            return Err(AcceptError::Malformed(sentence));
        }
    }
    let (team_name, kind_name) = (&spec.team, &spec.kind);
    let Some(team) = catalog.teams.get(team_name) else {
        return refuse(format!("There is no team `{team_name}`. Ask an operator to create it."));
    };
    let Some(kind) = catalog.kinds.get(kind_name) else {
        return refuse(format!(
            "There is no kind of job `{kind_name}`. Ask an operator to create it."
        ));
    };
    if !team.kinds.contains(kind_name) {
        return refuse(format!(
            "The team `{team_name}` may not run the kind `{kind_name}`. Ask an operator to allow it."
        ));
    }
    if kind.class != spec.class {
        return refuse(format!(
            "Jobs of the kind `{kind_name}` have the class `{}`, not `{}`.",
            class_name(kind.class),
            class_name(spec.class)
        ));
    }
    let total = spec.shape.total_accelerators();
    if total > team.quota {
        return refuse(format!(
            "The job needs {total} accelerators, but the team `{team_name}` may hold {} at most. Ask an operator to \
             raise its quota, or make the job smaller.",
            team.quota
        ));
    }
    Ok(())
}
