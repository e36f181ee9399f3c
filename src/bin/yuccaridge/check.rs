//! The `check` command.

use serde_json::json;
use yuccaridge::config::KEYS;

use crate::cli::SettingsOptions;
use crate::exit::{Exit, Failure};
use crate::{print, serve};

/// Checks the settings and prints the effective ones, or lists all keys.
pub fn run(options: &SettingsOptions, keys: bool, is_json: bool) -> Result<Exit, Failure> {
    if keys {
        list_keys(is_json);
        return Ok(Exit::Success);
    }
    let config = serve::resolve(options)?;
    if is_json {
        print::json(&json!({ "valid": true, "instance": config.instance, "domain": config.domain }));
    } else {
        outln!(
            "The settings are valid. Instance {} in domain {}:",
            config.instance,
            config.domain
        );
        outln!("  callers   {} (reached as {})", config.listen, config.advertise);
        outln!("  peers     {}", config.peer);
        let platform = config.platform;
        outln!(
            "  platform  table {}, objects {}, list {}",
            platform.table,
            platform.objects,
            platform.list
        );
        let weights = config.weights;
        outln!(
            "  weights   completion {}, fragmentation {}",
            weights.completion,
            weights.fragmentation
        );
        outln!(
            "  budget    {} writes/s, {} reads/s",
            config.budget.writes,
            config.budget.reads
        );
        outln!("  drain     {} s", config.drain.0 / 1000);
    }
    Ok(Exit::Success)
}

fn list_keys(is_json: bool) {
    if is_json {
        let mut rows = Vec::new();
        for key in KEYS {
            rows.push(json!({
                "key": key.path, "about": key.about, "unit": key.unit, "range": key.range,
                "variable": key.variable(),
            }));
        }
        print::json(&rows);
        return;
    }
    for key in KEYS {
        let range = key
            .range
            .map_or_else(String::new, |(min, max)| format!(", {min} to {max}"));
        outln!(
            "{}\n    {} ({}{range})\n    {}",
            key.path,
            key.about,
            key.unit,
            key.variable()
        );
    }
}
