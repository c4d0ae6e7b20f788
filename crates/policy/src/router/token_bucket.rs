//! Arithmetic of the token bucket that limits what a router sends to a member in slow start.

/// Token bucket for a member in slow start. Tokens and costs are in microseconds of latency target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Tokens refilled and not yet spent. The capacity is enforced only when tokens are spent.
    pub(super) tokens: f64,
    /// Capacity: the maximum that may be spent at once.
    pub(super) burst: f64,
    /// Maximum cost of a request that may be sent: a more expensive one would exceed the budget of all
    /// routers by itself.
    pub(super) max_cost: f64,
}

impl TokenBucket {
    /// Whether a request of this cost may be sent now.
    pub(super) fn admits(&self, cost: f64) -> bool {
        if self.tokens < cost || cost > self.max_cost {
            return false;
        }
        self.fits_burst(cost) || self.is_within_send_window(cost)
    }

    /// Tokens left after a request of this cost is sent. Tokens beyond the capacity are dropped.
    pub(super) fn tokens_after(&self, cost: f64) -> f64 {
        if self.fits_burst(cost) {
            return self.tokens.min(self.burst) - cost;
        }
        self.tokens % cost
    }

    /// The regular case: the bucket can hold the cost of the request.
    fn fits_burst(&self, cost: f64) -> bool {
        cost <= self.burst
    }

    /// The case of a request that costs more than the bucket can hold: it may be sent in a window that opens
    /// each time the refilled tokens reach a multiple of its cost, and that lasts for the time it takes to
    /// refill `burst`.
    ///
    /// The window is open for a share of `burst / cost` of the time. Since each router starts at a random
    /// phase (see `initial_slow_start_tokens`), this share of all routers may send at any one time. That
    /// amounts to an average of `burst` for each router, no more than in the regular case.
    fn is_within_send_window(&self, cost: f64) -> bool {
        self.tokens % cost < self.burst
    }
}
