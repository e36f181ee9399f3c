//! Settings: read from JSON with comments, overridden by environment and command line, and resolved into a [`Config`].
//!
//! Only the table [`KEYS`] defines a key's description, unit and range: range checks, the names of environment variables
//! and the output of `check --keys` all derive from it. Errors carry their location in the source.

mod budget;
mod error;
mod key;
mod limits;
mod log;
mod overrides;
mod platform;
mod resolved;
mod settings;
mod source;
mod timeouts;

pub use budget::Budget;
pub use error::{ConfigError, Location};
pub use key::{KEYS, Key};
pub use limits::Limits;
pub use log::{LogFormat, LogLevel, LogSettings, TraceOutput};
pub use overrides::{ENV_PREFIX, Origin, Override, from_environment};
pub use platform::{PlatformAddresses, PlatformSettings};
pub use resolved::Config;
pub use settings::Settings;
pub use source::Source;
pub use timeouts::Timeouts;
