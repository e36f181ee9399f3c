//! Parsing of a job specification and its check against the configuration.

use super::AcceptError;
use crate::job::{Class, JobSpec};
use crate::team::Catalog;

/// Maximum size of a job's body. The body is part of the job's row, which is written up to four times.
pub const BODY_BYTES_MAX: usize = 256 * 1024;
/// Maximum declared run time or deadline, a year. Larger values are mistakes, such as a value in milliseconds.
const DURATION_S_MAX: u64 = 366 * 24 * 3600;

/// Parses the body of a job.
pub fn parse_spec(body: &[u8]) -> Result<JobSpec, AcceptError> {
    if body.len() > BODY_BYTES_MAX {
        return Err(AcceptError::TooLarge(body.len()));
    }
    serde_json::from_slice(body).map_err(|error| AcceptError::Malformed(error.to_string()))
}

fn not_allowed<T>(message: String) -> Result<T, AcceptError> {
    Err(AcceptError::NotAllowed(message))
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Call => "call",
        Class::Batch => "batch",
    }
}

/// Checks that the configuration allows the job.
pub fn check_spec(catalog: &Catalog, spec: &JobSpec) -> Result<(), AcceptError> {
    spec.shape.check()?;
    for (field, duration_s) in [("run_time_s", spec.run_time_s), ("deadline_s", spec.deadline_s)] {
        if duration_s > DURATION_S_MAX {
            let message = format!("`{field}` is {duration_s}, but at most {DURATION_S_MAX} seconds are allowed");
            return Err(AcceptError::Malformed(message));
        }
    }
    let (team_name, kind_name) = (&spec.team, &spec.kind);
    let Some(team) = catalog.teams.get(team_name) else {
        return not_allowed(format!("There is no team `{team_name}`. Ask an operator to create it."));
    };
    let Some(kind) = catalog.kinds.get(kind_name) else {
        return not_allowed(format!(
            "There is no kind of job `{kind_name}`. Ask an operator to create it."
        ));
    };
    if !team.kinds.contains(kind_name) {
        return not_allowed(format!(
            "The team `{team_name}` may not run the kind `{kind_name}`. Ask an operator to allow it."
        ));
    }
    if kind.class != spec.class {
        return not_allowed(format!(
            "Jobs of the kind `{kind_name}` have the class `{}`, not `{}`.",
            class_name(kind.class),
            class_name(spec.class)
        ));
    }
    let total = spec.shape.total_accelerators();
    if total > team.quota {
        return not_allowed(format!(
            "The job needs {total} accelerators, but the team `{team_name}` may hold {} at most. Ask an operator to \
             raise its quota, or make the job smaller.",
            team.quota
        ));
    }
    Ok(())
}
