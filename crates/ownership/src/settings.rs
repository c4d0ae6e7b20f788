//! Who the acceptors are, and the spans that all gateways must have alike.

use crate::{GatewayId, MAX_ACCEPTORS};
use petrelgauge_policy::Time;
use thiserror::Error;

/// What all gateways of a fleet are told alike, but for `me`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub self_id: GatewayId,
    /// How many there are.
    pub gateways: GatewayId,
    /// Who grants leases.
    pub acceptors: Vec<GatewayId>,
    /// How long a lease holder may act on one grant, by its own clock (microseconds).
    pub lease: Time,
    /// How much faster or slower than true time any clock may run (fraction).
    pub drift_bound: f64,
    /// Longest that a datagram takes, if it arrives (microseconds).
    pub max_delay: Time,
}

impl Default for Settings {
    /// No acceptors; spans for datagrams that take some milliseconds.
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

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// An even number, none or too many.
    #[error("there are {0} acceptors; an unknown_senders number up to {MAX_ACCEPTORS} is needed")]
    AcceptorCount(usize),
    /// Named twice.
    #[error("acceptor {0} is named twice")]
    DuplicateAcceptor(GatewayId),
    /// None of the gateways.
    #[error("acceptor {0} is none of the gateways")]
    UnknownAcceptor(GatewayId),
    /// A lease holder could not renew in time.
    #[error("the lease must be at least 8 times the datagrams' delay")]
    Lease,
    /// Clocks are reckoned with as all but useless.
    #[error("the drift must be from 0 up to 0.2")]
    Drift,
}

impl Settings {
    /// Whether they can be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let acceptors = &self.acceptors;
        if acceptors.len().is_multiple_of(2) || acceptors.len() > MAX_ACCEPTORS {
            return Err(SettingsError::AcceptorCount(acceptors.len()));
        }
        for (place, acceptor) in acceptors.iter().enumerate() {
            if acceptors[..place].contains(acceptor) {
                return Err(SettingsError::DuplicateAcceptor(*acceptor));
            }
            if *acceptor >= self.gateways {
                return Err(SettingsError::UnknownAcceptor(*acceptor));
            }
        }
        if !(0.0..=0.2).contains(&self.drift_bound) {
            return Err(SettingsError::Drift);
        }
        // Two round trips to win, and three chances to renew before a third of the lease is left.
        if self.max_delay <= 0 || self.lease < 8 * self.max_delay {
            return Err(SettingsError::Lease);
        }
        Ok(())
    }

    /// Told apart from fleets whose files name other acceptors or spans: two of these must never count one another's
    /// promises.
    pub fn fingerprint(&self) -> u32 {
        let Settings { gateways, acceptors, lease, drift_bound, max_delay, .. } = self;
        crc32c::crc32c(format!("{gateways} {acceptors:?} {lease} {drift_bound} {max_delay}").as_bytes())
    }

    /// The same of a fleet whose roles fall into so many shards.
    pub fn sharded_fingerprint(&self, shards: u16) -> u32 {
        match shards {
            0 | 1 => self.fingerprint(),
            shards => crc32c::crc32c_append(self.fingerprint(), &shards.to_be_bytes()),
        }
    }

    /// How many acceptors are a majority.
    pub fn majority(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// How long an acceptor holds a grant by its own clock: longer than the slowest lease holder's lease lasts while the
    /// acceptor's clock is the fastest.
    pub fn acceptance_duration(&self) -> Time {
        (self.lease as f64 * (1.0 + self.drift_bound) / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// How long an acceptor says nothing after its start. Whatever it granted before is over by then. A proposal that
    /// was on its way is no older than the datagrams' delay; one that is older is accepted as one of now, which is
    /// harmless: its lease holder reckons from when it sent it.
    pub fn startup_silence(&self) -> Time {
        self.acceptance_duration()
    }

    /// How long before the end of its lease a lease holder renews it.
    pub fn renew_before_expiry(&self) -> Time {
        self.lease / 3 * 2
    }

    /// Span within which a role whose lease holder has gone has a new one, if a majority can talk and nothing is lost: the
    /// grant runs out at the acceptors, each candidate leaves those before it the time to win, and one that asked too
    /// early draws another moment.
    pub fn takeover_bound(&self) -> Time {
        let drifted = |span: Time| (span as f64 / (1.0 - self.drift_bound)).ceil() as Time;
        drifted(self.acceptance_duration() + (self.acceptors.len() as Time + 3) * self.response_timeout())
    }

    /// Longest wait between two attempts of a candidate, and how long one waits for answers.
    pub fn response_timeout(&self) -> Time {
        4 * self.max_delay
    }
}
