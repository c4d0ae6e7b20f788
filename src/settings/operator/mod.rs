//! The operator's file: typed records that enable features in addition to the platform's settings. Without
//! the file, none of them is enabled.

mod ownership_record;
mod sessions_record;

pub use ownership_record::OwnershipRecord;
pub use sessions_record::{SessionClassesError, SessionsRecord};

use crate::Time;
use petrelgauge_config_language::{Record, RecordError};
use std::io;
use thiserror::Error;

/// Why the operator's file cannot be used. The messages are shown to operators.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path, as set in the environment.
        path: String,
        /// The failed system call.
        source: io::Error,
    },
    /// A record or field of the file is invalid.
    #[error(transparent)]
    Invalid(#[from] RecordError),
}

/// The contents of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Sessions across gateways.
    pub sessions: Option<SessionsRecord>,
    /// Leadership roles of the fleet.
    pub ownership: Option<OwnershipRecord>,
    /// Added to the system clock's time (microseconds), for a machine whose clock is known to be slow.
    pub clock_shift: Time,
}

impl OperatorConfig {
    /// Reads the file at `path`. Without a path, nothing is enabled.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid.
    pub fn load(path: Option<&str>) -> Result<OperatorConfig, OperatorError> {
        let Some(path) = path else { return Ok(OperatorConfig::default()) };
        let unreadable = |source| OperatorError::Unreadable { path: path.to_string(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Ok(OperatorConfig::parse(path, &text)?)
    }

    /// Parses the text of a file. `file_name` is used in errors.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid record, with its location in the file and the reason.
    pub fn parse(file_name: &str, text: &str) -> Result<OperatorConfig, RecordError> {
        let mut file = Record::read(file_name, text)?;
        let sessions = file.record("sessions")?.map(SessionsRecord::parse).transpose()?;
        let ownership = file.record("ownership")?.map(OwnershipRecord::parse).transpose()?;
        let clock_shift = file.duration("clock_shift")?.unwrap_or(0);
        file.end()?;
        Ok(OperatorConfig { sessions, ownership, clock_shift })
    }
}
