//! A letter and its bytes.
//!
//! `petrel`, a byte of version, the body as `postcard` writes it, and the CRC-32C of all before it (4 bytes, big end
//! first).

use crate::company::Held;
use petrelgauge_policy::{LearnedState, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Longest letter (bytes): some hundred members with all their samples.
pub const MOST_BYTES: usize = 1024 * 1024;
const MARK: &[u8; 6] = b"petrel";
/// Raised with every change of what a letter holds: a process of another build starts cold.
const VERSION: u8 = 2;
/// Longest name of a gateway in a letter (bytes); what is longer is cut.
const MOST_OWNER: usize = 256;
const CHECK: usize = 4;

/// What a process leaves for the next.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Letter {
    /// The gateway that its writer is a process of: gateways that share a machine may share a folder.
    pub owner: String,
    /// A digest of the settings that its writer goes by.
    pub settings: u64,
    /// Its writer, by a number that no other process has.
    pub writer: u64,
    /// When it was written, by the clock of the machine that both run on.
    pub written: Time,
    /// What its writer holds.
    pub held: Held,
    /// What the decisions call each member that the list names.
    pub numbers: Vec<(String, MemberId)>,
    /// What its writer has learned.
    pub learned_state: LearnedState,
}

/// Why a letter cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LetterError {
    /// Cut off, or changed on the way.
    #[error("it is not whole")]
    Torn,
    /// Of another build.
    #[error("it is of version {0}, and this program reads version {VERSION}")]
    Version(u8),
    /// Longer than any that is written.
    #[error("it is longer than {MOST_BYTES} bytes")]
    Long,
    /// Older than what it tells is good for.
    #[error("it is {0} us old")]
    Old(Time),
    /// Written at a time that has not come: the clock was set back.
    #[error("it is of a time to come")]
    Ahead,
    /// Learned by other settings: what a class's answers told of a member means something else.
    #[error("it was written by other settings")]
    Settings,
}

/// A gateway, as its letters name it.
pub fn owner(name: &str, listen: &str) -> String {
    let mut owner = format!("{listen} {name}");
    while owner.len() > MOST_OWNER {
        owner.pop();
    }
    owner
}

/// A number of a gateway for the names of its files. Two may share one: what a letter says of its owner decides.
pub fn mark(owner: &str) -> u32 {
    crc32c::crc32c(owner.as_bytes())
}

impl Letter {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let whole = self.bytes();
        if whole.len() <= MOST_BYTES {
            return whole;
        }
        // That it runs must be told whatever it knows.
        let (owner, numbers, learned_state) = (self.owner.clone(), Vec::new(), LearnedState::default());
        Letter { owner, numbers, learned_state, ..*self }.bytes()
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = MARK.to_vec();
        bytes.push(VERSION);
        // Plain data into memory: there is nothing in it that cannot be written.
        bytes = postcard::to_extend(self, bytes).unwrap_or_default();
        let check = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&check.to_be_bytes());
        bytes
    }

    /// Reads a letter. Whether it is fresh enough is another question: see [`Letter::age`].
    pub fn decode(bytes: &[u8]) -> Result<Letter, LetterError> {
        if bytes.len() > MOST_BYTES {
            return Err(LetterError::Long);
        }
        let (head, check) =
            bytes.split_at_checked(bytes.len().saturating_sub(CHECK)).ok_or(LetterError::Torn)?;
        let body = head.strip_prefix(MARK).ok_or(LetterError::Torn)?;
        if crc32c::crc32c(head).to_be_bytes() != check {
            return Err(LetterError::Torn);
        }
        match body.split_first() {
            Some((&VERSION, body)) => postcard::from_bytes(body).map_err(|_| LetterError::Torn),
            Some((version, _)) => Err(LetterError::Version(*version)),
            None => Err(LetterError::Torn),
        }
    }

    /// Whether what it tells was learned by these settings.
    pub fn fits(&self, settings: u64) -> Result<(), LetterError> {
        if self.settings == settings {
            Ok(())
        } else {
            Err(LetterError::Settings)
        }
    }

    /// How old it is, if that is no more than `most`.
    pub fn age(&self, now: Time, most: Time) -> Result<Time, LetterError> {
        match now.saturating_sub(self.written) {
            age if age < 0 => Err(LetterError::Ahead),
            age if age > most => Err(LetterError::Old(age)),
            age => Ok(age),
        }
    }
}
