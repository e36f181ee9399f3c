//! Settings as written, before overrides and validation.

use serde::{Deserialize, Serialize};

use super::{Budget, Limits, LogSettings, PlatformSettings, Timeouts, TraceOutput};
use crate::plan::Weights;
use crate::platform::Address;

/// Content of a settings file. A key that it leaves out has a default, or must be set by the environment or the command
/// line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: Option<String>,
    /// Failure domain of the instance.
    pub domain: Option<String>,
    /// Address for callers and operators.
    pub listen: Option<Address>,
    /// Address under which callers and peers reach `listen`.
    pub advertise: Option<Address>,
    /// Address for peers.
    pub peer: Option<Address>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Weights of the scheduler's goals, relative to each other.
    pub weights: Weights,
    /// Budget of requests to the table.
    pub budget: Budget,
    /// Limits of the server.
    pub limits: Limits,
    /// Log settings.
    pub log: LogSettings,
    /// Output for trace spans.
    pub trace: TraceOutput,
    /// Maximum time to drain in seconds, 1 to 3,600.
    pub drain_s: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: None,
            domain: None,
            listen: None,
            advertise: None,
            peer: None,
            platform: PlatformSettings::default(),
            timeouts: Timeouts::default(),
            weights: Weights::default(),
            budget: Budget::default(),
            limits: Limits::default(),
            log: LogSettings::default(),
            trace: TraceOutput::default(),
            drain_s: 60,
        }
    }
}
