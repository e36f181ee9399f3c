//! Runs one case against the real instances: `rig CASE FOLDER TEMP`, with `TROUBLE=0` for a run without the disruption.
//! Writes `record.txt` in FOLDER, and the ids of the processes that it starts to TEMP/pids. Exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod workers;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

use record::Record;
use site::Site;

/// Result of a case; `Err` says why it could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder, temp] = &*args else {
        eprintln!("usage: rig CASE FOLDER TEMP");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write record.txt: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {name}, disruption: {trouble}"));
    let outcome = cases::run(name, trouble, &record, &PathBuf::from(temp));
    let (code, text) = match outcome {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}

/// Stops the instances also if the case returns early.
impl Drop for Site {
    fn drop(&mut self) {
        self.stop_all();
    }
}
