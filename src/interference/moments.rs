//! Weight, mean and spread of measurements.

/// Least standard deviation, so that a few equal measurements do not count as certainty. Reports contain whole percents,
/// and a speed is measured over a tenth of the work.
const DEVIATION_MIN: f64 = 0.05;

/// Decayed moments of a series of measurements.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Moments {
    /// Decayed number of measurements.
    pub weight: f64,
    /// Mean.
    pub mean: f64,
    /// Sum of the squared deviations from the mean.
    pub squares: f64,
}

impl Moments {
    /// Adds a measurement of weight 1.
    pub fn add(&mut self, value: f64) {
        let deviation = value - self.mean;
        self.weight += 1.0;
        self.mean += deviation / self.weight;
        self.squares += deviation * (value - self.mean);
    }

    /// Reduces the weight of all measurements by a factor.
    pub fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.squares *= factor;
    }

    /// Moments of the measurements that are not in `part`.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        let weight = self.weight - part.weight;
        if weight <= 0.0 {
            return Self::default();
        }
        let mean = (self.weight * self.mean - part.weight * part.mean) / weight;
        let between = part.weight * weight / self.weight * (part.mean - mean) * (part.mean - mean);
        Self {
            weight,
            mean,
            squares: (self.squares - part.squares - between).max(0.0),
        }
    }

    /// Variance of the mean. The weight is less than the effective number of decayed measurements, so this is not too
    /// small.
    pub fn variance_of_mean(&self) -> f64 {
        if self.weight <= 1.0 {
            return f64::INFINITY;
        }
        (self.squares / (self.weight - 1.0)).max(DEVIATION_MIN * DEVIATION_MIN) / self.weight
    }
}
