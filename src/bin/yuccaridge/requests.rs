//! Commands that send requests about jobs and status to an instance.

use std::fs;
use std::io::{Read, stdin};
use std::path::Path;

use yuccaridge::api::JobView;
use yuccaridge::client::Client;
use yuccaridge::name::JobId;
use yuccaridge::time::Millis;

use crate::cli::ServerOptions;
use crate::exit::{Exit, Failure};
use crate::print;

/// Creates a client for the server and timeout in `options`.
pub fn client(options: &ServerOptions) -> Client {
    Client::new(options.server, Millis::from_secs(options.timeout))
}

/// Reads a file, or standard input for `-`.
pub fn read_input(path: &Path) -> Result<Vec<u8>, Failure> {
    let mut bytes = Vec::new();
    let result = if path == Path::new("-") {
        stdin().read_to_end(&mut bytes).map(drop)
    } else {
        fs::read(path).map(|content| bytes = content)
    };
    match result {
        Ok(()) => Ok(bytes),
        Err(e) => Err(Failure::File(path.display().to_string(), e)),
    }
}

fn show(view: &JobView, is_json: bool) -> Exit {
    if is_json {
        print::json(view);
    } else {
        print::job(view);
    }
    Exit::of_job(view)
}

/// Submits a job, and waits up to `wait` seconds for its end.
pub fn submit(
    server: &ServerOptions,
    id: &JobId,
    file: &Path,
    wait: Option<u64>,
    is_json: bool,
) -> Result<Exit, Failure> {
    let body = read_input(file)?;
    let client = client(server);
    let mut view = client.submit(id, &body, None)?;
    if let (Some(seconds), None) = (wait, &view.outcome) {
        view = client.job(id, Millis::from_secs(seconds))?;
    }
    Ok(show(&view, is_json))
}

/// Shows a job, after waiting up to `wait` seconds for its end.
pub fn job(server: &ServerOptions, id: &JobId, wait: Option<u64>, is_json: bool) -> Result<Exit, Failure> {
    let wait = Millis::from_secs(wait.unwrap_or(0));
    let view = client(server).job(id, wait)?;
    Ok(show(&view, is_json))
}

/// Cancels a job.
pub fn cancel(server: &ServerOptions, id: &JobId, is_json: bool) -> Result<Exit, Failure> {
    let view = client(server).cancel(id)?;
    // A job that ended without a complete answer is the expected result of a cancellation.
    match show(&view, is_json) {
        Exit::Ended => Ok(Exit::Success),
        exit => Ok(exit),
    }
}

/// Shows the status of an instance.
pub fn status(server: &ServerOptions, is_json: bool) -> Result<Exit, Failure> {
    let view = client(server).status()?;
    if is_json {
        print::json(&view);
    } else {
        print::status(&view);
    }
    Ok(Exit::Success)
}
