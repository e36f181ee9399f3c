//! Shapes of gangs.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most members in a gang.
pub const MEMBERS_MAX: u16 = 128;
/// Most accelerators of one member.
pub const ACCELERATORS_MAX: u16 = 64;
/// Most cores of one member.
pub const CORES_MAX: u32 = 4096;
/// Most memory of one member, in megabytes.
pub const MEMORY_MB_MAX: u64 = 16 * 1024 * 1024;

/// How close the members of a gang must be to each other.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Adjacency {
    /// All members on one endpoint.
    #[serde(rename = "worker")]
    Endpoint,
    /// All members in one rack.
    Rack,
    /// All members in one failure domain.
    Domain,
    /// Anywhere in the pool.
    #[default]
    Any,
}

/// Resources that a gang needs; a single task is a gang of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of members.
    #[serde(default = "one")]
    pub members: u16,
    /// Cores of each member.
    #[serde(default = "one_core")]
    pub cores: u32,
    /// Memory of each member, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators of each member.
    #[serde(default)]
    pub accelerators: u16,
    /// How close the members must be.
    #[serde(default)]
    pub adjacent: Adjacency,
}

fn one() -> u16 {
    1
}

fn one_core() -> u32 {
    1
}

/// Reason why a shape is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A field is out of range.
    #[error("`{field}` is {value}, but must be between {min} and {max}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Submitted value.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            members: 1,
            cores: 1,
            memory_mb: 0,
            accelerators: 0,
            adjacent: Adjacency::Any,
        }
    }
}

impl Shape {
    /// Accelerators of all members together.
    pub fn total_accelerators(&self) -> u32 {
        u32::from(self.members) * u32::from(self.accelerators)
    }

    /// Rejects values that exceed every possible fleet, and gangs without members.
    pub fn check(&self) -> Result<(), ShapeError> {
        let ranges = [
            ("members", u64::from(self.members), 1, u64::from(MEMBERS_MAX)),
            ("cores", u64::from(self.cores), 0, u64::from(CORES_MAX)),
            ("memory_mb", self.memory_mb, 0, MEMORY_MB_MAX),
            (
                "accelerators",
                u64::from(self.accelerators),
                0,
                u64::from(ACCELERATORS_MAX),
            ),
        ];
        for (field, value, min, max) in ranges {
            if value < min || value > max {
                return Err(ShapeError::Range { field, value, min, max });
            }
        }
        Ok(())
    }
}
