//! Stand-ins for the parties that a gateway talks to, and the gateway process itself. Standard library only.
//!
//! The stand-ins follow PROTOCOL: version 3 of PostgreSQL's wire protocol without password, simple queries,
//! discovery over HTTP with a watch. All addresses are loopback addresses with free ports.
#![allow(dead_code)]

pub mod client;
pub mod discovery;
pub mod gateway;
pub mod host;
pub mod record;
pub mod wire;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Exit code if the rule held.
pub const HELD: i32 = 0;
/// Exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is to be caused: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process as not run if the case takes longer than it may.
pub fn limit_run_time() {
    std::thread::spawn(|| {
        sleep_ms(105_000);
        eprintln!("the case did not end in time");
        std::process::exit(NOT_RUN);
    });
}

/// Unix time in milliseconds, the unit of log positions.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Sleeps.
pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// A small generator of pseudo-random numbers (SplitMix64).
pub struct Random(pub u64);

impl Random {
    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}
