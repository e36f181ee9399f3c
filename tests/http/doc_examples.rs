//! The examples on `docs/platform.md` must be what the adapters read and write.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use yuccaridge::platform::http::wire::ErrorBody;
use yuccaridge::platform::{Batch, CallPart, MachineList, Txn};

const PAGE: &str = include_str!("../../docs/platform.md");

/// Reads an example and writes it again; it must stay as it is.
fn check<T>(example: &str)
where
    T: Serialize + DeserializeOwned,
{
    let typed: T = serde_json::from_str(example).unwrap_or_else(|error| panic!("{error}: {example}"));
    let written = serde_json::to_value(typed).unwrap();
    assert_eq!(written, serde_json::from_str::<Value>(example).unwrap());
}

/// Guards against a field that was renamed, added or removed in the code only.
#[test]
fn examples_on_the_page_are_current() {
    let blocks = PAGE.split("```json").skip(1);
    let examples: Vec<_> = blocks.map(|block| block.split("```").next().unwrap()).collect();
    let [error, txn, list, batch, part] = examples[..] else {
        panic!("the page has {} examples", examples.len());
    };
    check::<ErrorBody>(error);
    check::<Txn>(txn);
    check::<MachineList>(list);
    check::<Batch>(batch);
    check::<CallPart>(part);
}
