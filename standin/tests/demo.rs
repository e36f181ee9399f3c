//! Runs the demo of the README.

/// Guards against a demo that no longer runs or whose checks fail.
#[test]
fn demo_passes() {
    let result = standin::demo::run();

    assert!(result.is_ok(), "{result:?}");
}
