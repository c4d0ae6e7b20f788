//! The record `sessions` of the operator's file.

use crate::{Class, Need};
use petrelgauge_config_language::{Record, RecordError};
use petrelgauge_sessions::{PositionScope, SessionGuarantee, Settings};
use thiserror::Error;

/// Values of `sources`, in the order of [`SessionSources`]' fields.
const SOURCES: [&str; 2] = ["token", "peers"];
/// Values of `promise`.
const PROMISES: [(&str, SessionGuarantee); 2] = [
    ("writes", SessionGuarantee::ReadYourWrites),
    ("writes-and-reads", SessionGuarantee::ReadYourWritesAndMonotonicReads),
];
/// Values of `positions`.
const POSITION_SCOPES: [(&str, PositionScope); 2] =
    [("read", PositionScope::DataRead), ("answer", PositionScope::HostAtAnswer)];

/// Why sessions cannot be tracked for the classes that the record names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SessionClassesError {
    /// The deployment has no class of this name.
    #[error("sessions: classes: the deployment has no class {0:?}")]
    UnknownClass(String),
    /// All classes read, or all write, so that sessions have no effect.
    #[error("sessions: classes: at least one class that writes and one that reads")]
    ReadsAndWritesNeeded,
}

/// The record `sessions`.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionsRecord {
    /// Names of the classes that carry sessions.
    pub classes: Vec<String>,
    /// Whether watermarks are exchanged with the other gateways.
    pub peers: bool,
    /// Settings of the session tracker, without the number of this gateway and of all gateways.
    pub settings: Settings,
}

/// Where a gateway learns the watermark of a session from.
struct SessionSources {
    tokens: bool,
    peers: bool,
}

impl SessionsRecord {
    /// Indices of the classes that carry sessions.
    ///
    /// # Errors
    ///
    /// Fails if the deployment lacks one of the classes, or unless at least one reads and one writes.
    pub fn class_indices(&self, classes: &[Class]) -> Result<Vec<usize>, SessionClassesError> {
        let index_of = |name: &String| {
            let index = classes.iter().position(|class| class.name == *name);
            index.ok_or_else(|| SessionClassesError::UnknownClass(name.clone()))
        };
        let indices: Vec<usize> = self.classes.iter().map(index_of).collect::<Result<_, _>>()?;
        let write_count = indices.iter().filter(|index| classes[**index].need == Need::Write).count();
        if write_count == 0 || write_count == indices.len() {
            return Err(SessionClassesError::ReadsAndWritesNeeded);
        }
        Ok(indices)
    }

    /// Parses the record.
    pub(super) fn parse(mut record: Record) -> Result<SessionsRecord, RecordError> {
        let classes = record.strings("classes")?.unwrap_or_default();
        if classes.is_empty() {
            return Err(record.error("sessions: classes names the classes that carry sessions"));
        }
        let sources = parse_sources(&mut record)?;
        let guarantee = parse_choice(&mut record, "promise", PROMISES)?;
        let position_scope = parse_choice(&mut record, "positions", POSITION_SCOPES)?;
        let secret = parse_secret(&mut record)?;
        let base = Settings::default();
        let settings = Settings {
            guarantee: guarantee.unwrap_or(base.guarantee),
            position_scope: position_scope.unwrap_or(base.position_scope),
            conservative: record.one_of("unknown", &["asked-for", "ignored"])? != Some(1),
            roams: record.boolean("roams")?.unwrap_or(base.roams),
            tokens: sources.tokens,
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
        Ok(SessionsRecord { classes, peers: sources.peers, settings })
    }
}

fn parse_sources(record: &mut Record) -> Result<SessionSources, RecordError> {
    let names = record.strings("sources")?.unwrap_or_else(|| vec!["token".into()]);
    if let Some(other) = names.iter().find(|name| !SOURCES.contains(&name.as_str())) {
        return Err(record.error(format!("sources are \"token\" and \"peers\", not {other:?}")));
    }
    let [tokens, peers] = SOURCES.map(|source| names.iter().any(|name| name == source));
    Ok(SessionSources { tokens, peers })
}

/// Parses a field whose value is one of a few names.
fn parse_choice<T: Copy>(
    record: &mut Record,
    field: &str,
    choices: [(&str, T); 2],
) -> Result<Option<T>, RecordError> {
    let index = record.one_of(field, &choices.map(|(name, _)| name))?;
    Ok(index.map(|index| choices[index].1))
}

fn parse_secret(record: &mut Record) -> Result<u64, RecordError> {
    let Some(text) = record.string("secret")? else {
        return Err(record.error("sessions: a secret is needed, the same at all instances"));
    };
    let secret = u64::from_str_radix(&text, 16);
    secret.map_err(|_| record.error("secret is up to 16 hexadecimal digits"))
}
