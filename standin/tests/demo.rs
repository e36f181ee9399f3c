//! The demo of the README.

/// Guards against a demo that shows something untrue, or no longer runs.
#[test]
fn demo_is_true() {
    let result = standin::demo::run();

    assert!(result.is_ok(), "{result:?}");
}
