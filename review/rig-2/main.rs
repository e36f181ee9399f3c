//! Rig of the second review: small deployments with stand-ins for the platform, and the checks of their cases.
//!
//! `rig CASE RECORD` runs a case from the root of the project. It exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. With TROUBLE=0 there is no disruption.

mod advice;
mod advice_case;
mod hand_over_case;
mod http;
mod json;
mod kind_case;
mod lasting_case;
mod lost;
mod random;
mod record;
mod site;
mod store;
mod suspension_case;
mod workers;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const LENGTH_MAX: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = match Record::create(record.as_ref()) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write {record}: {error}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(LENGTH_MAX);
        site::kill_instances();
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let found = std::panic::catch_unwind(|| run(case, &record, !calm));
    site::kill_instances();
    let found = found.unwrap_or_else(|_| Err("the rig has failed".to_owned()));
    let (line, code) = match found {
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => (
            format!("the rule was broken {} times; first: {}", broken.len(), broken[0]),
            1,
        ),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.write("result", &line);
    println!("{line}");
    ExitCode::from(code)
}

/// Runs a case; returns how the rule was broken.
fn run(case: &str, record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    match case {
        "advice" => advice_case::run(record, trouble),
        "hand-over" => hand_over_case::run(record, trouble),
        "kind" => kind_case::run(record, trouble),
        "lasting" => lasting_case::run(record, trouble),
        "suspension" => suspension_case::run(record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}
