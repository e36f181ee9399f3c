//! Names.

use yuccaridge::name::{JobId, NameError};

/// Guards against names that a table key or URL would change or drop.
#[test]
fn unusable_names_are_refused() {
    let long = "x".repeat(65);
    let cases = [
        ("", NameError::Empty),
        (".", NameError::DotSegment),
        ("..", NameError::DotSegment),
        ("a/b", NameError::Character('/')),
        ("é", NameError::Character('é')),
        (long.as_str(), NameError::TooLong(65)),
    ];
    for (text, error) in cases {
        assert_eq!(JobId::new(text), Err(error));
    }
}
