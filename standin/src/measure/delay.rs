//! Delays of commands and stops, drawn by seed.
//!
//! Each draw depends on the seed, the job and the attempt alone, so that all policies meet the same delays.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::time::Millis;

/// Source of delays.
#[derive(Debug, Clone, Copy)]
pub struct Delays(pub u64);

impl Delays {
    fn rng(self, job: usize, attempt: u32, purpose: u64) -> SmallRng {
        let key = (job as u64) << 24 | u64::from(attempt) << 4 | purpose;
        SmallRng::seed_from_u64(self.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ key)
    }

    /// Two commits and two commands to all members.
    pub fn start(self, job: usize, attempt: u32) -> Millis {
        Millis(self.rng(job, attempt, 0).random_range(60..150))
    }

    /// A stop of at most 2 s, of which a checkpoint takes 0.5 to 1.5 s.
    pub fn stop(self, job: usize, attempt: u32, checkpoints: bool) -> Millis {
        let mut rng = self.rng(job, attempt, 1);
        let checkpoint = if checkpoints { rng.random_range(500..=1_500) } else { 0 };
        Millis(checkpoint + rng.random_range(50..=500))
    }

    /// Time after which a faulty endpoint or job fails.
    pub fn failure(self, job: usize, attempt: u32) -> Millis {
        Millis(self.rng(job, attempt, 2).random_range(1_000..3_000))
    }
}
