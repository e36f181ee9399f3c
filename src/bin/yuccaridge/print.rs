//! Output for the user.

use serde::Serialize;
use serde_json::Value;
use yuccaridge::api::{JobView, StatusView, TicketView};
use yuccaridge::job::Outcome;
use yuccaridge::row::TicketState;

/// Prints a value as one line of JSON.
pub fn json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_value(value).unwrap_or(Value::Null));
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
    print!("job {}: {}", view.id, enum_name(&view.state));
    if view.attempt > 0 {
        print!(", attempt {}", view.attempt);
    }
    if let Some(pool) = &view.pool {
        print!(", pool {pool}");
    }
    println!();
    for endpoint in &view.endpoints {
        println!("  on {endpoint}");
    }
    match &view.outcome {
        None => {}
        Some(Outcome::Completed { answer }) => println!("  completed: {answer}"),
        Some(Outcome::Failed { reason }) => println!("  failed: {reason}"),
        Some(Outcome::NotRun { message, .. }) => println!("  not run: {message}"),
        Some(Outcome::Cancelled { ran: true }) => println!("  cancelled; part of it was run"),
        Some(Outcome::Cancelled { ran: false }) => println!("  cancelled; nothing was run"),
        Some(Outcome::Unknown { reason }) => {
            println!("  unknown: {reason}\n  The job may have been run. Ask again with the same id.");
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
    println!("ticket {}: {state}{before}", view.number);
}

/// Prints the status of an instance.
pub fn status(view: &StatusView) {
    let session = if view.session {
        "live"
    } else {
        "expired: accepts no jobs and no tickets"
    };
    println!("instance {}: ticket {}, session {session}", view.instance, view.ticket);
    if view.draining {
        println!("  draining: accepts no new requests");
    }
    let mut names = Vec::new();
    for name in &view.instances {
        names.push(name.as_str());
    }
    println!("  live instances: {}", names.join(", "));
    for (pool, holder) in &view.pools {
        let holder = holder.as_ref().map_or("no instance", |name| name.as_str());
        println!("  pool {pool}: planned by {holder}");
    }
    for (pool, jobs) in &view.waiting {
        println!("  pool {pool}: {jobs} waiting");
    }
    for (team, shortfall) in &view.at_risk {
        println!("  guarantee at risk: team {team}: {shortfall}");
    }
    for (endpoint, reason) in &view.quarantine {
        println!("  quarantine: endpoint {endpoint}: {reason}");
    }
}
