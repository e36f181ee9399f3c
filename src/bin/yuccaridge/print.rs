//! Output for the user.

use std::fmt::Arguments;
use std::io::{self, ErrorKind, Write};
use std::process;

use serde::Serialize;
use serde_json::Value;
use yuccaridge::api::{JobView, StatusView, TicketView};
use yuccaridge::job::Outcome;
use yuccaridge::row::TicketState;

/// Writes to the standard output like `print!`, and ends the program quietly if the reader has closed it.
macro_rules! out {
    ($($argument:tt)*) => {
        $crate::print::write(format_args!($($argument)*))
    };
}

/// The same with a line break.
macro_rules! outln {
    () => {
        out!("\n")
    };
    ($($argument:tt)*) => {
        out!("{}\n", format_args!($($argument)*))
    };
}

/// Writes to the standard output; see [`out`].
pub fn write(text: Arguments<'_>) {
    let Err(error) = io::stdout().write_fmt(text) else {
        return;
    };
    if error.kind() == ErrorKind::BrokenPipe {
        process::exit(0);
    }
    eprintln!("cannot write to the standard output: {error}");
    process::exit(1);
}

/// Prints a value as one line of JSON.
pub fn json<T>(value: &T)
where
    T: Serialize,
{
    outln!("{}", serde_json::to_value(value).unwrap_or(Value::Null));
}

/// The serialized name of an enum value, with spaces for underscores.
fn enum_name<T>(value: &T) -> String
where
    T: Serialize,
{
    match serde_json::to_value(value) {
        Ok(Value::String(text)) => text.replace('_', " "),
        _ => String::new(),
    }
}

/// Prints the state of a job.
pub fn job(view: &JobView) {
    out!("job {}: {}", view.id, enum_name(&view.state));
    if view.attempt > 0 {
        out!(", attempt {}", view.attempt);
    }
    if let Some(pool) = &view.pool {
        out!(", pool {pool}");
    }
    outln!();
    for endpoint in &view.endpoints {
        outln!("  on {endpoint}");
    }
    match &view.outcome {
        None => {}
        Some(Outcome::Completed { answer }) => outln!("  completed: {answer}"),
        Some(Outcome::Failed { reason }) => outln!("  failed: {reason}"),
        Some(Outcome::NotRun { message, .. }) => outln!("  not run: {message}"),
        Some(Outcome::Cancelled { ran: true }) => outln!("  cancelled; part of it was run"),
        Some(Outcome::Cancelled { ran: false }) => outln!("  cancelled; nothing was run"),
        Some(Outcome::Unknown { reason }) => {
            outln!("  unknown: {reason}\n  The job may have been run. Ask again with the same id.");
        }
    }
}

/// Prints the state of a ticket.
pub fn ticket(view: &TicketView) {
    let state = match view.state {
        TicketState::Pending => "pending; not in force everywhere yet",
        TicketState::Accepted => "in force everywhere",
    };
    let before = if view.repeated { " (already done before)" } else { "" };
    outln!("ticket {}: {state}{before}", view.number);
}

/// Prints the status of an instance.
pub fn status(view: &StatusView) {
    let session = if view.session {
        "live"
    } else {
        "expired: accepts no jobs and no tickets"
    };
    outln!("instance {}: ticket {}, session {session}", view.instance, view.ticket);
    if view.draining {
        outln!("  draining: accepts no new requests");
    }
    let mut names = Vec::new();
    for name in &view.instances {
        names.push(name.as_str());
    }
    outln!("  live instances: {}", names.join(", "));
    for (pool, holder) in &view.pools {
        let holder = holder.as_ref().map_or("no instance", |name| name.as_str());
        outln!("  pool {pool}: planned by {holder}");
    }
    for (pool, jobs) in &view.waiting {
        outln!("  pool {pool}: {jobs} waiting");
    }
    for (team, shortfall) in &view.at_risk {
        outln!("  guarantee at risk: team {team}: {shortfall}");
    }
    for (endpoint, reason) in &view.quarantine {
        outln!("  quarantine: endpoint {endpoint}: {reason}");
    }
}
