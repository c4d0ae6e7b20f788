//! The record `ownership` of the operator's file, which enables leadership roles.

use petrelgauge_config_language::{Record, RecordError};
use petrelgauge_ownership::{Settings, SettingsError, MAX_SHARDS};

/// Values of `duties`: primary discovery and quota lending.
const ROLES: [&str; 2] = ["scout", "shares"];
/// Number of acceptors if the record specifies none.
const DEFAULT_ACCEPTORS: u64 = 3;
/// Numbers of acceptors are capped here before the check, which rejects every number above its limit, so
/// that a huge number builds no huge list.
const MAX_CHECKED_ACCEPTORS: usize = 1000;

/// The record `ownership`.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipRecord {
    /// Number of acceptors, which are spread evenly over the configured gateways.
    pub acceptors: usize,
    /// Lease settings, without the gateways and acceptors.
    pub lease_settings: Settings,
    /// Secret shared by all gateways.
    pub secret: u64,
    /// Whether acceptors are candidates for primary discovery.
    pub primary_discovery: bool,
    /// Number of shards of each role; each shard may have a different leader.
    pub shards: u16,
    /// Whether this gateway lends and borrows quota, and acceptors are candidates for quota lending.
    pub quota_lending: bool,
}

impl OwnershipRecord {
    /// The lease settings of the gateway with number `self_id` out of `gateways`.
    ///
    /// # Errors
    ///
    /// Fails if the durations or the number of acceptors are invalid for this number of gateways.
    pub fn settings(&self, self_id: usize, gateways: usize) -> Result<Settings, SettingsError> {
        let count = self.acceptors.min(gateways);
        let settings = Settings {
            self_id: self_id as u16,
            gateways: gateways.min(u16::MAX.into()) as u16,
            acceptors: (0..count).map(|index| (index * gateways / count) as u16).collect(),
            ..self.lease_settings.clone()
        };
        settings.check()?;
        Ok(settings)
    }

    /// Parses the record.
    pub(super) fn parse(mut record: Record) -> Result<OwnershipRecord, RecordError> {
        let secret = parse_secret(&mut record)?;
        let acceptors = record.unsigned("electors")?.unwrap_or(DEFAULT_ACCEPTORS) as usize;
        let lease_settings = parse_lease_settings(&mut record, acceptors)?;
        let shards = record.unsigned("shards")?.unwrap_or(1);
        if !(1..=u64::from(MAX_SHARDS)).contains(&shards) {
            return Err(record.error(format!("ownership: shards must be from 1 to {MAX_SHARDS}")));
        }
        let roles = record.strings("duties")?.unwrap_or_else(|| vec!["scout".into()]);
        if let Some(other) = roles.iter().find(|name| !ROLES.contains(&name.as_str())) {
            return Err(record.error(format!("duties must be \"scout\" or \"shares\", not {other:?}")));
        }
        let [primary_discovery, quota_lending] = ROLES.map(|role| roles.iter().any(|name| name == role));
        if quota_lending && !lease_settings.loans_outlast_grants() {
            return Err(record
                .error("ownership: shares require a lower drift_percent, or a longer lease for this delay"));
        }
        record.end()?;
        let shards = shards as u16;
        Ok(OwnershipRecord { acceptors, lease_settings, secret, primary_discovery, shards, quota_lending })
    }
}

fn parse_secret(record: &mut Record) -> Result<u64, RecordError> {
    let text = record.string("secret")?.unwrap_or_default();
    u64::from_str_radix(&text, 16).map_err(|_| {
        record.error("ownership: secret must be 1 to 16 hexadecimal digits, the same at all gateways")
    })
}

/// Parses the durations, and checks them as if there were as many gateways as acceptors: the number of
/// gateways is not known yet, but an error reported here has a location in the file.
fn parse_lease_settings(record: &mut Record, acceptors: usize) -> Result<Settings, RecordError> {
    let base = Settings::default();
    let drift_bound =
        record.unsigned("drift_percent")?.map_or(base.drift_bound, |percent| percent as f64 / 100.0);
    let lease = record.duration("lease")?.unwrap_or(base.lease);
    let max_delay = record.duration("delay")?.unwrap_or(base.max_delay);
    let lease_settings = Settings { lease, drift_bound, max_delay, ..base };
    let checked_acceptors = acceptors.min(MAX_CHECKED_ACCEPTORS) as u16;
    let checked_settings = Settings {
        gateways: checked_acceptors,
        acceptors: (0..checked_acceptors).collect(),
        ..lease_settings.clone()
    };
    checked_settings.check().map_err(|cause| record.error(format!("ownership: {cause}")))?;
    Ok(lease_settings)
}
