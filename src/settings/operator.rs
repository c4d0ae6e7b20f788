//! The operator's file: what is switched on beside the platform's settings. Without one nothing is.

use crate::{Class, Need, Time};
use petrelgauge_config_language::{Record, RecordError};
use petrelgauge_ownership::{Settings as Spans, SettingsError as OwnershipError, MAX_SHARDS};
use petrelgauge_sessions::{PositionScope, Promise, Settings};
use std::io;
use thiserror::Error;

/// Names of session sources in the operator's file.
const SESSION_SOURCES: [&str; 2] = ["token", "peers"];
/// Names of shared duties in the operator's file.
const DUTIES: [&str; 2] = ["scout", "shares"];
/// Electors where the operator's file names no number.
const DEFAULT_ACCEPTORS: u64 = 3;
/// Largest number of electors that is checked; any over the limit is refused alike.
const MAX_CHECKED_ACCEPTORS: usize = 1000;

/// Why the operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path as the environment gives it.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file can be read, but a record or field of it is wrong.
    #[error(transparent)]
    Invalid(#[from] RecordError),
}

/// Why sessions cannot be kept for the classes that the operator names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SessionClassesError {
    /// The deployment has no class of this name.
    #[error("sessions: classes: the deployment has no class {0:?}")]
    UnknownClass(String),
    /// All classes read, or all write: there is nothing to keep.
    #[error("sessions: classes: at least one class that writes and one that reads")]
    ReadsAndWritesNeeded,
}

/// What an operator has set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Sessions across instances.
    pub sessions: Option<Sessions>,
    /// Duties that one gateway does for all.
    pub ownership: Option<Ownership>,
    /// Added to the system's clock (microseconds): for a machine whose clock is known to be late.
    pub clock_shift: Time,
}

/// The record `sessions`.
#[derive(Clone, Debug, PartialEq)]
pub struct Sessions {
    /// Names of the classes that carry sessions.
    pub classes: Vec<String>,
    /// Marks are exchanged with the other instances.
    pub peers: bool,
    /// How they are kept. The instance's number among the others is not known here yet.
    pub settings: Settings,
}

/// The record `ownership`.
#[derive(Clone, Debug, PartialEq)]
pub struct Ownership {
    /// How many acceptors there are, spread over the configuration's peers.
    pub acceptors: usize,
    /// Lease, drift and delay; who and how many is known with the configuration alone.
    pub spans: Spans,
    /// The same at all gateways.
    pub secret: u64,
    /// Acceptors are candidates for primary discovery.
    pub primary_discovery: bool,
    /// Shards that each duty falls into, so that many owners share its work.
    pub shards: u16,
    /// This gateway takes part in the share-out of limits, and acceptors are candidates for that role.
    pub quota_lending: bool,
}

impl Operator {
    /// Reads the file at `path`; without a path, nothing is switched on.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid.
    pub fn load(path: Option<&str>) -> Result<Operator, OperatorError> {
        let Some(path) = path else { return Ok(Operator::default()) };
        let unreadable = |source| OperatorError::Unreadable { path: path.to_string(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Ok(Operator::read(path, &text)?)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// Fails at the first record that cannot be used, with its place and the reason.
    pub fn read(file: &str, text: &str) -> Result<Operator, RecordError> {
        let mut file = Record::read(file, text)?;
        let sessions = file.record("sessions")?.map(sessions).transpose()?;
        let ownership = file.record("ownership")?.map(ownership).transpose()?;
        let clock_shift = file.duration("clock_shift")?.unwrap_or(0);
        file.end()?;
        Ok(Operator { sessions, ownership, clock_shift })
    }
}

impl Ownership {
    /// The ownership settings of the gateway number `me` among `gateways`.
    ///
    /// # Errors
    ///
    /// Fails if the lease, the drift or the electors cannot work with so many gateways.
    pub fn settings(&self, me: usize, gateways: usize) -> Result<Spans, OwnershipError> {
        let count = self.acceptors.min(gateways);
        let acceptors = (0..count).map(|place| (place * gateways / count) as u16).collect();
        let (me, gateways) = (me as u16, gateways.min(u16::MAX.into()) as u16);
        let settings = Spans { self_id: me, gateways, acceptors, ..self.spans.clone() };
        settings.check()?;
        Ok(settings)
    }
}

impl Sessions {
    /// Indices of the classes that carry sessions.
    ///
    /// # Errors
    ///
    /// Fails if the deployment lacks one of the classes, or if not at least one reads and one writes.
    pub fn places(&self, classes: &[Class]) -> Result<Vec<usize>, SessionClassesError> {
        let place = |name: &String| {
            let found = classes.iter().position(|class| class.name == *name);
            found.ok_or_else(|| SessionClassesError::UnknownClass(name.clone()))
        };
        let places: Vec<usize> = self.classes.iter().map(place).collect::<Result<_, _>>()?;
        let writes = places.iter().filter(|place| classes[**place].need == Need::Write).count();
        if writes == 0 || writes == places.len() {
            return Err(SessionClassesError::ReadsAndWritesNeeded);
        }
        Ok(places)
    }
}

/// Reads the record `sessions`.
fn sessions(mut record: Record) -> Result<Sessions, RecordError> {
    let base = Settings::default();
    let classes = record.strings("classes")?.unwrap_or_default();
    if classes.is_empty() {
        return Err(record.error("sessions: classes names the classes that carry sessions"));
    }
    let sources = record.strings("sources")?.unwrap_or_else(|| vec!["token".into()]);
    if let Some(other) = sources.iter().find(|name| !SESSION_SOURCES.contains(&name.as_str())) {
        return Err(record.error(format!("sources are \"token\" and \"peers\", not {other:?}")));
    }
    let [tokens, peers] = SESSION_SOURCES.map(|source| sources.iter().any(|name| name == source));
    let promises = [Promise::Writes, Promise::WritesAndReads];
    let promise = record.one_of("promise", &["writes", "writes-and-reads"])?.map(|place| promises[place]);
    let scopes = [PositionScope::DataRead, PositionScope::HostAtAnswer];
    let position_scope = record.one_of("positions", &["read", "answer"])?.map(|place| scopes[place]);
    let secret = record.string("secret")?.map(|text| u64::from_str_radix(&text, 16));
    let Ok(secret) = secret.transpose() else {
        return Err(record.error("secret is up to 16 hexadecimal digits"));
    };
    let Some(secret) = secret else {
        return Err(record.error("sessions: a secret is needed, the same at all instances"));
    };
    let settings = Settings {
        promise: promise.unwrap_or(base.promise),
        position_scope: position_scope.unwrap_or(base.position_scope),
        conservative: record.one_of("unknown", &["asked-for", "ignored"])? != Some(1),
        roams: record.boolean("roams")?.unwrap_or(base.roams),
        tokens,
        exact_sessions: record.unsigned("exact")?.map_or(base.exact_sessions, |count| count as usize),
        sketch_width: record.unsigned("cells")?.map_or(base.sketch_width, |count| count as usize),
        token_age: record.duration("token_age")?.unwrap_or(base.token_age),
        clock_error: record.duration("clock_error")?.unwrap_or(base.clock_error),
        position_granularity: record.duration("granule")?.unwrap_or(base.position_granularity),
        broadcast_interval: record.duration("pace")?.unwrap_or(base.broadcast_interval),
        max_read_wait: record.duration("hold")?.unwrap_or(base.max_read_wait),
        secret,
        ..base
    };
    settings.check().map_err(|cause| record.error(format!("sessions: {cause}")))?;
    record.end()?;
    Ok(Sessions { classes, peers, settings })
}

/// Reads the record `ownership`.
fn ownership(mut record: Record) -> Result<Ownership, RecordError> {
    let base = Spans::default();
    let secret = record.string("secret")?.map(|text| u64::from_str_radix(&text, 16));
    let Ok(Some(secret)) = secret.transpose() else {
        return Err(
            record.error("ownership: a secret of up to 16 hexadecimal digits, the same at all gateways")
        );
    };
    let acceptors = record.unsigned("electors")?.unwrap_or(DEFAULT_ACCEPTORS) as usize;
    let drift = record.unsigned("drift_percent")?.map_or(base.drift_bound, |percent| percent as f64 / 100.0);
    let lease = record.duration("lease")?.unwrap_or(base.lease);
    let delay = record.duration("delay")?.unwrap_or(base.max_delay);
    let spans = Spans { lease, drift_bound: drift, max_delay: delay, ..base };
    // With as many gateways as acceptors it can be checked here, where the file and the place are known.
    let stand_in = Spans {
        gateways: acceptors.min(MAX_CHECKED_ACCEPTORS) as u16,
        acceptors: (0..acceptors.min(MAX_CHECKED_ACCEPTORS) as u16).collect(),
        ..spans.clone()
    };
    stand_in.check().map_err(|cause| record.error(format!("ownership: {cause}")))?;
    let shards = record.unsigned("shards")?.unwrap_or(1);
    if !(1..=u64::from(MAX_SHARDS)).contains(&shards) {
        return Err(record.error(format!("ownership: shards are from 1 to {MAX_SHARDS}")));
    }
    let duties = record.strings("duties")?.unwrap_or_else(|| vec!["scout".into()]);
    if let Some(other) = duties.iter().find(|name| !DUTIES.contains(&name.as_str())) {
        return Err(record.error(format!("duties are \"scout\" and \"shares\", not {other:?}")));
    }
    let [primary_discovery, quota_lending] = DUTIES.map(|duty| duties.iter().any(|name| name == duty));
    if quota_lending && !spans.loans_outlast_grants() {
        return Err(record.error("ownership: shares need a lower drift, or a lease of more delays"));
    }
    record.end()?;
    Ok(Ownership { acceptors, spans, secret, primary_discovery, shards: shards as u16, quota_lending })
}
