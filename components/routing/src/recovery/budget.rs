//! The retry budget of a router.

/// Retries that are earned by first attempts, so that they stay a share of the
/// traffic however much of it fails.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    saved: f64,
}

impl Budget {
    /// A budget that starts full.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, saved: burst }
    }

    /// Changes what is earned and how much may be saved up.
    pub fn set_limits(&mut self, share: f64, burst: f64) {
        self.share = share;
        self.burst = burst;
        self.saved = self.saved.min(burst);
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.burst);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
