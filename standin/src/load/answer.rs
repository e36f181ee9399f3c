//! Check of an answer against its request.

use serde_json::Value;

/// Field of an answer that holds the request's id.
pub const REQUEST_FIELD: &str = "request";

/// Checks that an answer contains `id` exactly `count` times and no other id; returns the flaw, if any.
pub fn check_answer(answer: &Value, id: &str, count: usize) -> Option<String> {
    let mut found = 0;
    let mut pending = vec![answer];
    while let Some(value) = pending.pop() {
        match value {
            Value::Array(values) => pending.extend(values),
            Value::Object(fields) => {
                for (name, value) in fields {
                    if name != REQUEST_FIELD {
                        pending.push(value);
                        continue;
                    }
                    if value != id {
                        return Some(format!("foreign: it answers request {value}"));
                    }
                    found += 1;
                }
            }
            _ => {}
        }
    }
    (found != count).then(|| format!("partial or repeated: {found} of {count} pieces"))
}
