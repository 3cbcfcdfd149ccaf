//! Retry budgets.

/// A token bucket that is filled by first attempts, so that retries stay a fixed ratio of the
/// traffic even if much of it fails.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    balance: f64,
}

impl Budget {
    /// A full budget that earns `ratio` retries per first attempt and holds at most `burst`.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, balance: burst }
    }

    /// Changes the ratio and the maximum balance.
    pub fn set_limits(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.burst);
    }

    /// Takes one retry if the balance allows it. Returns whether it did.
    pub fn spend(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
