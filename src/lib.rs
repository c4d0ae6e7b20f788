//! petrelgauge is a gateway between PostgreSQL clients and replicated groups of database hosts: it routes
//! each read and write to a member of the right group.
//!
//! The crate `petrelgauge-policy` decides which member gets a request; its items are re-exported here. The
//! modules below do the input and output, with a folder for each concern. They access the decisions through
//! the [`facade`], which is independent of any protocol. Imports between folders run one way; the
//! documentation of each folder says what it does, what it owns and what it may import.

pub mod client;
pub mod control;
pub mod discovery;
pub mod facade;
pub mod fleet;
pub mod handover;
pub mod host;
pub mod os;
pub mod postgres;
pub mod resources;
pub mod settings;
pub mod sql;

pub use petrelgauge_policy::{
    Action, AttemptOutcome, Class, Effect, Ending, Entry, Event, GroupId, KnownPrimary, ListRole, MemberId,
    MemberStatus, Need, QuotaAdjustment, Report, RequestArrival, RequestId, Role, Router, Scope, Settings,
    SettingsError, SlowStart, StaleReadPolicy, Time, Update,
};
