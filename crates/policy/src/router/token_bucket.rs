//! The token bucket from which a router pays for what it sends to a warming member: its arithmetic alone.

/// What a router may send a warming member. Tokens and costs are work: microseconds of latency target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Tokens refilled and not spent. The capacity is applied when they are spent.
    pub(super) tokens: f64,
    /// Capacity: the most that may be spent at once.
    pub(super) burst: f64,
    /// Largest request that may be sent at all: a larger one would exceed the budget of the fleet by itself.
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

    /// Tokens left once a request of this cost is sent. Only what the capacity holds is carried over.
    pub(super) fn tokens_after(&self, cost: f64) -> f64 {
        if self.fits_burst(cost) {
            return self.tokens.min(self.burst) - cost;
        }
        self.tokens % cost
    }

    /// The ordinary case: the bucket can hold the price of the request.
    fn fits_burst(&self, cost: f64) -> bool {
        cost <= self.burst
    }

    /// The other case: a request that costs more than the bucket can hold may be sent for a while after the
    /// refill has passed a multiple of its cost, as long as it takes to refill `burst`.
    ///
    /// That is `burst / cost` of the time. Since each router starts at a random phase (see
    /// `initial_slow_start_tokens`), that share of all routers may send in any one moment, which comes to
    /// `burst` for each router on average: no more than in the ordinary case.
    fn is_within_send_window(&self, cost: f64) -> bool {
        self.tokens % cost < self.burst
    }
}
