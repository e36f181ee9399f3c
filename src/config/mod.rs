//! Settings: read from JSON with comments, overridden by environment and command line, resolved into one [`Config`].
//!
//! The table of [`KEYS`] is the only place where a key's meaning, unit and range stand: checks, names of environment
//! variables and the text of `check --keys` all come from it. Errors know where in the source they lie.

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
