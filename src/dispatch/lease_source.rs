//! How the end of the leases on an endpoint is known.

/// What the bound of the leases on an endpoint rests on, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseSource {
    /// The last lease that this leader granted.
    OwnGrant,
    /// A bound that the former leader has stored.
    StoredBound,
    /// The common bound that the former leader has stored with the release of its lead.
    ReleasedLead,
    /// The longest lease that a former leader may have granted.
    FormerLeader,
    /// The longest lease that a former leader may have granted before the first report to this one.
    FirstReport,
    /// The longest lease that may exist on an endpoint that has just been listed.
    Listed,
    /// The longest lease that may reach an endpoint that has restarted.
    Restart,
}
