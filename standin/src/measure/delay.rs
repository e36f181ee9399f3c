//! Random delays of commands, stops and failures.
//!
//! A delay depends only on the seed, the job, the attempt and the purpose, so that it is the same for all policies.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yuccaridge::time::Millis;

/// Generator of delays, with its seed.
#[derive(Debug, Clone, Copy)]
pub struct Delays(pub u64);

impl Delays {
    fn rng(self, job: usize, attempt: u32, purpose: u64) -> SmallRng {
        let key = (job as u64) << 24 | u64::from(attempt) << 4 | purpose;
        SmallRng::seed_from_u64(self.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ key)
    }

    /// Time from placement to start: two commits and two commands to all members.
    pub fn start(self, job: usize, attempt: u32) -> Millis {
        Millis(self.rng(job, attempt, 0).random_range(60..150))
    }

    /// Time of a stop, at most 2 s; a checkpoint takes 0.5 to 1.5 s of it.
    pub fn stop(self, job: usize, attempt: u32, checkpoints: bool) -> Millis {
        let mut rng = self.rng(job, attempt, 1);
        let checkpoint = if checkpoints { rng.random_range(500..=1_500) } else { 0 };
        Millis(checkpoint + rng.random_range(50..=500))
    }

    /// Time from start to failure on a faulty endpoint or of a faulty job.
    pub fn failure(self, job: usize, attempt: u32) -> Millis {
        Millis(self.rng(job, attempt, 2).random_range(1_000..3_000))
    }
}
