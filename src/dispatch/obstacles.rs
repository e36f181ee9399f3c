//! Reasons why a claim is not met yet.

/// Endpoints of a claim that cannot take their tasks now, by the reason.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Obstacles<'c> {
    /// They accept no new work.
    pub closed: Vec<&'c str>,
    /// They have become slower than the claim allows.
    pub slow: Vec<&'c str>,
    /// Their resources are in use.
    pub occupied: Vec<&'c str>,
}
