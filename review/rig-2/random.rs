//! Numbers that only look random, the same in each run.

pub struct Random(pub u64);

impl Random {
    /// Next number from `from` up to, but not including, `to`.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        from + self.0 % (to - from)
    }
}
