//! Validation of names.

use yuccaridge::name::{JobId, NameError};

/// Guards against names that have another meaning in table keys or are altered in URLs.
#[test]
fn invalid_names_are_rejected() {
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
