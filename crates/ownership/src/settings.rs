//! Who the electors are, and the spans that all gateways must have alike.

use crate::{Gateway, MOST_ELECTORS};
use petrelgauge_policy::Time;
use thiserror::Error;

/// What all gateways of a fleet are told alike, but for `me`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub me: Gateway,
    /// How many there are.
    pub gateways: Gateway,
    /// Who grants leases.
    pub electors: Vec<Gateway>,
    /// How long an owner may act on one grant, by its own clock (microseconds).
    pub lease: Time,
    /// How much faster or slower than true time any clock may run (fraction).
    pub drift: f64,
    /// Longest that a datagram takes, if it arrives (microseconds).
    pub delay: Time,
}

impl Default for Settings {
    /// No electors; spans for datagrams that take some milliseconds.
    fn default() -> Settings {
        Settings { me: 0, gateways: 1, electors: Vec::new(), lease: 2_000_000, drift: 0.05, delay: 50_000 }
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// An even number, none or too many.
    #[error("there are {0} electors; an odd number up to {MOST_ELECTORS} is needed")]
    Electors(usize),
    /// Named twice.
    #[error("elector {0} is named twice")]
    Twice(Gateway),
    /// None of the gateways.
    #[error("elector {0} is none of the gateways")]
    Unknown(Gateway),
    /// An owner could not renew in time.
    #[error("the lease must be at least 8 times the datagrams' delay")]
    Lease,
    /// Clocks are reckoned with as all but useless.
    #[error("the drift must be from 0 up to 0.2")]
    Drift,
}

impl Settings {
    /// Whether they can be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let electors = &self.electors;
        if electors.len().is_multiple_of(2) || electors.len() > MOST_ELECTORS {
            return Err(SettingsError::Electors(electors.len()));
        }
        for (place, elector) in electors.iter().enumerate() {
            if electors[..place].contains(elector) {
                return Err(SettingsError::Twice(*elector));
            }
            if *elector >= self.gateways {
                return Err(SettingsError::Unknown(*elector));
            }
        }
        if !(0.0..=0.2).contains(&self.drift) {
            return Err(SettingsError::Drift);
        }
        // Two round trips to win, and three chances to renew before a third of the lease is left.
        if self.delay <= 0 || self.lease < 8 * self.delay {
            return Err(SettingsError::Lease);
        }
        Ok(())
    }

    /// Told apart from fleets whose files name other electors or spans: two of these must never count one another's
    /// promises.
    pub fn fingerprint(&self) -> u32 {
        let Settings { gateways, electors, lease, drift, delay, .. } = self;
        crc32c::crc32c(format!("{gateways} {electors:?} {lease} {drift} {delay}").as_bytes())
    }

    /// The same of a fleet whose duties fall into so many shards.
    pub fn sharded_fingerprint(&self, shards: u16) -> u32 {
        match shards {
            0 | 1 => self.fingerprint(),
            shards => crc32c::crc32c_append(self.fingerprint(), &shards.to_be_bytes()),
        }
    }

    /// How many electors are a majority.
    pub fn majority(&self) -> usize {
        self.electors.len() / 2 + 1
    }

    /// How long an elector holds a grant by its own clock: longer than the slowest owner's lease lasts while the
    /// elector's clock is the fastest.
    pub fn held(&self) -> Time {
        (self.lease as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as Time
    }

    /// How long an elector says nothing after its start. Whatever it granted before is over by then. A proposal that
    /// was on its way is no older than the datagrams' delay; one that is older is accepted as one of now, which is
    /// harmless: its owner reckons from when it sent it.
    pub fn silence(&self) -> Time {
        self.held()
    }

    /// How long before the end of its lease an owner renews it.
    pub fn renew(&self) -> Time {
        self.lease / 3 * 2
    }

    /// Span within which a duty whose owner has gone has a new one, if a majority can talk and nothing is lost: the
    /// grant runs out at the electors, each candidate leaves those before it the time to win, and one that asked too
    /// early draws another moment.
    pub fn takeover(&self) -> Time {
        let drifted = |span: Time| (span as f64 / (1.0 - self.drift)).ceil() as Time;
        drifted(self.held() + (self.electors.len() as Time + 3) * self.patience())
    }

    /// Longest wait between two attempts of a candidate, and how long one waits for answers.
    pub fn patience(&self) -> Time {
        4 * self.delay
    }
}
