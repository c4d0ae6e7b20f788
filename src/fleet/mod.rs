//! Coordination between the gateways of a fleet over datagrams: session watermark broadcasts, leases of
//! leadership roles, announcements of primaries, and quota lending.
//!
//! | module | purpose |
//! | --- | --- |
//! | `peers` | the datagram socket: sends due datagrams and dispatches received ones |
//! | `leadership` | routes messages between the lease manager, the roles and the other gateways |
//! | `primary_discovery`, `announced_primaries` | the role that announces the primary of each group |
//! | `quota_lending` | the role that lends unused quota to gateways that need it |
//! | `codec` | encodes and decodes messages with the fleet's fingerprint and secret |
//!
//! Owns the lease manager, the announced primaries and the quotas. `petrelgauge_ownership` decides who leads
//! and what may be lent; the decisions behind the [facade](crate::facade) apply the result to requests.
//! Without a leader or without other gateways, a gateway keeps working on its own.
//!
//! May import: `discovery` (only the host names), `facade`, `os`, `resources`.

mod announced_primaries;
mod codec;
pub mod leadership;
pub mod peers;
pub mod primary_discovery;
pub mod quota_lending;
