//! Settings of leases, and the durations derived from them.

use crate::{GatewayId, MAX_ACCEPTORS};
use petrelgauge_policy::Time;
use thiserror::Error;

/// Maximum of [`Settings::drift_bound`].
const MAX_DRIFT_BOUND: f64 = 0.2;
/// Minimum lease, as a multiple of the maximum delay: two round trips to acquire it, and time for three
/// attempts to renew it.
const MIN_LEASE_IN_DELAYS: Time = 8;
/// Response timeout, as a multiple of the maximum delay: two round trips.
const RESPONSE_TIMEOUT_IN_DELAYS: Time = 4;
/// Response timeouts allowed for a takeover, in addition to one per acceptor: one each for preparing,
/// proposing and a backoff.
const TAKEOVER_ATTEMPTS: Time = 3;

/// Settings of leases. All except `self_id` are the same at all gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of this gateway.
    pub self_id: GatewayId,
    /// Number of gateways.
    pub gateways: GatewayId,
    /// The gateways that grant leases.
    pub acceptors: Vec<GatewayId>,
    /// Duration of a lease, by its holder's clock (microseconds).
    pub lease: Time,
    /// How much faster or slower than true time any clock may run (fraction).
    pub drift_bound: f64,
    /// Expected maximum delay of a datagram (microseconds). Longer delays cost time but don't affect safety.
    pub max_delay: Time,
}

impl Default for Settings {
    /// No acceptors, and durations for a network with delays of a few milliseconds.
    fn default() -> Settings {
        Settings {
            self_id: 0,
            gateways: 1,
            acceptors: Vec::new(),
            lease: 2_000_000,
            drift_bound: 0.05,
            max_delay: 50_000,
        }
    }
}

/// Why settings are invalid. The texts use the keys of the operator's file, where acceptors are `electors`.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The number of acceptors is zero, even or too high.
    #[error("there are {0} electors; an odd number up to {MAX_ACCEPTORS} is needed")]
    AcceptorCount(usize),
    /// An acceptor is listed twice.
    #[error("elector {0} is listed twice")]
    DuplicateAcceptor(GatewayId),
    /// An acceptor is not among the gateways.
    #[error("elector {0} is not one of the gateways")]
    UnknownAcceptor(GatewayId),
    /// The lease is too short to be renewed in time.
    #[error("the lease must be at least {MIN_LEASE_IN_DELAYS} times the datagrams' delay")]
    LeaseTooShort,
    /// The drift bound is negative, too high or NaN.
    #[error("the drift must be from 0 up to {MAX_DRIFT_BOUND}")]
    DriftBound,
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    ///
    /// Fails if the acceptors, the drift bound or the lease are out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_acceptors()?;
        if !(0.0..=MAX_DRIFT_BOUND).contains(&self.drift_bound) {
            return Err(SettingsError::DriftBound);
        }
        if self.max_delay <= 0 || self.lease < MIN_LEASE_IN_DELAYS * self.max_delay {
            return Err(SettingsError::LeaseTooShort);
        }
        Ok(())
    }

    fn check_acceptors(&self) -> Result<(), SettingsError> {
        let acceptors = &self.acceptors;
        if acceptors.len().is_multiple_of(2) || acceptors.len() > MAX_ACCEPTORS {
            return Err(SettingsError::AcceptorCount(acceptors.len()));
        }
        for (index, acceptor) in acceptors.iter().enumerate() {
            if acceptors[..index].contains(acceptor) {
                return Err(SettingsError::DuplicateAcceptor(*acceptor));
            }
            if *acceptor >= self.gateways {
                return Err(SettingsError::UnknownAcceptor(*acceptor));
            }
        }
        Ok(())
    }

    /// Checksum of the settings that all gateways of a fleet share. Gateways with different settings must not
    /// count each other's promises.
    pub fn fingerprint(&self) -> u32 {
        let Settings { gateways, acceptors, lease, drift_bound, max_delay, .. } = self;
        crc32c::crc32c(format!("{gateways} {acceptors:?} {lease} {drift_bound} {max_delay}").as_bytes())
    }

    /// Checksum of the shared settings and, if there are several, the number of shards of each role.
    pub fn sharded_fingerprint(&self, shards: u16) -> u32 {
        match shards {
            0 | 1 => self.fingerprint(),
            shards => crc32c::crc32c_append(self.fingerprint(), &shards.to_be_bytes()),
        }
    }

    /// Whether this gateway is one of the acceptors.
    pub fn is_acceptor(&self) -> bool {
        self.acceptors.contains(&self.self_id)
    }

    /// Number of acceptors in a majority.
    pub fn majority(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// How long an acceptor keeps an accepted lease, by its own clock (microseconds). Covers the case in
    /// which the acceptor's clock is the fastest and the holder's the slowest within the drift bound.
    pub fn acceptance_duration(&self) -> Time {
        (self.lease as f64 * (1.0 + self.drift_bound) / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// How long an acceptor is silent after its start (microseconds). After that, every lease that it
    /// accepted before has expired. A proposal that was sent before the restart and arrives after the silence
    /// is accepted like a new one. This is harmless, because its sender measures the lease from the sending.
    pub fn startup_silence(&self) -> Time {
        self.acceptance_duration()
    }

    /// How long before the lease expires its holder starts to renew it (microseconds).
    pub fn renew_before_expiry(&self) -> Time {
        self.lease / 3 * 2
    }

    /// Maximum time without a lease holder after one has failed, if a majority of acceptors is reachable and
    /// no datagram is lost (microseconds). Covers the expiry of the lease at the acceptors, the staggered
    /// attempts of the candidates, and one backoff of a candidate that was too early.
    pub fn takeover_bound(&self) -> Time {
        let attempts = self.acceptors.len() as Time + TAKEOVER_ATTEMPTS;
        let by_own_clock = self.acceptance_duration() + attempts * self.response_timeout();
        (by_own_clock as f64 / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// How long a candidate waits for responses; also the unit of its backoff (microseconds).
    pub fn response_timeout(&self) -> Time {
        RESPONSE_TIMEOUT_IN_DELAYS * self.max_delay
    }
}
