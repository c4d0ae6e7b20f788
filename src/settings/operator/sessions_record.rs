//! The record `sessions` of the operator's file, which enables sessions across gateways.

use crate::{Class, Need};
use petrelgauge_config_language::{Record, RecordError};
use petrelgauge_sessions::{PositionScope, SessionGuarantee, Settings};
use thiserror::Error;

/// Values of `sources`, in the order of [`SessionSources`]' fields.
const SOURCES: [&str; 2] = ["token", "peers"];
/// Values of `promise`, and the guarantee that each selects.
const PROMISES: [(&str, SessionGuarantee); 2] = [
    ("writes", SessionGuarantee::ReadYourWrites),
    ("writes-and-reads", SessionGuarantee::ReadYourWritesAndMonotonicReads),
];
/// Values of `positions`, and the scope that each selects.
const POSITION_SCOPES: [(&str, PositionScope); 2] =
    [("read", PositionScope::DataRead), ("answer", PositionScope::HostAtAnswer)];

/// Why sessions cannot be tracked for the classes in the record.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SessionClassesError {
    /// The deployment has no class of this name.
    #[error("sessions: classes: the deployment has no class {0:?}")]
    UnknownClass(String),
    /// The classes all read or all write, so sessions would have no effect.
    #[error("sessions: classes must include at least one class that writes and one that reads")]
    ReadsAndWritesNeeded,
}

/// The record `sessions`.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionsRecord {
    /// Names of the classes that carry sessions.
    pub classes: Vec<String>,
    /// Whether watermarks are exchanged with the other gateways.
    pub peers: bool,
    /// Settings of the session tracker, without this gateway's number and the number of gateways.
    pub settings: Settings,
}

/// The sources from which a gateway learns a session's watermark.
struct SessionSources {
    tokens: bool,
    peers: bool,
}

impl SessionsRecord {
    /// Indices of the classes that carry sessions.
    ///
    /// # Errors
    ///
    /// Fails if the deployment has no class of one of the names, or if the classes all read or all write.
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
            return Err(record.error("sessions: classes must name the classes that carry sessions"));
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
        return Err(record.error(format!("sources must be \"token\" or \"peers\", not {other:?}")));
    }
    let [tokens, peers] = SOURCES.map(|source| names.iter().any(|name| name == source));
    Ok(SessionSources { tokens, peers })
}

/// Parses a field whose value is one of two names.
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
        return Err(record.error("sessions: secret is missing; it must be the same at all gateways"));
    };
    let secret = u64::from_str_radix(&text, 16);
    secret.map_err(|_| record.error("secret must be 1 to 16 hexadecimal digits"))
}
