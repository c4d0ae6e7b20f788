//! The interface between a router and the program that embeds it: settings, events and actions. This module
//! contains no decision logic.

mod actions;
mod classes;
mod endpoints;
mod events;
mod ids;
mod notes;
mod scan_counts;
mod settings;

pub use actions::Action;
pub use classes::{Class, Effect, Need, Scope, ASSUMED_KNOWN_AFTER};
pub use endpoints::{Entry, KnownPrimary, MemberStatus, QuotaAdjustment, Report, Role};
pub use events::{AttemptOutcome, Ending, Event, RequestArrival, Update};
pub use ids::{GroupId, MemberId, RequestId, Time};
pub use notes::{LogEntry, Note};
pub use scan_counts::ScanCounts;
pub use settings::{ListRole, Settings, SettingsError, StaleReadPolicy};
