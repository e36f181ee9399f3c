//! The examples in `docs/platform.md` must match the types that the adapters read and write.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use yuccaridge::platform::http::wire::ErrorBody;
use yuccaridge::platform::{Batch, CallPart, MachineList, Txn};

const PLATFORM_DOC: &str = include_str!("../../docs/platform.md");

/// Checks that an example does not change when it is deserialized and serialized.
fn check_round_trip<T>(example: &str)
where
    T: Serialize + DeserializeOwned,
{
    let typed: T = serde_json::from_str(example).unwrap_or_else(|error| panic!("{error}: {example}"));
    let written = serde_json::to_value(typed).unwrap();
    assert_eq!(written, serde_json::from_str::<Value>(example).unwrap());
}

/// Guards against a field that was renamed, added or removed in the code but not in the documentation.
#[test]
fn documented_examples_round_trip() {
    let blocks = PLATFORM_DOC.split("```json").skip(1);
    let examples: Vec<_> = blocks.map(|block| block.split("```").next().unwrap()).collect();
    let [error, txn, list, batch, part] = examples[..] else {
        panic!("the page has {} examples", examples.len());
    };
    check_round_trip::<ErrorBody>(error);
    check_round_trip::<Txn>(txn);
    check_round_trip::<MachineList>(list);
    check_round_trip::<Batch>(batch);
    check_round_trip::<CallPart>(part);
}
