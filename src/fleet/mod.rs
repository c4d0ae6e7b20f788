//! Coordination of the gateways of a fleet over datagrams: watermark broadcasts of sessions, leases of
//! leadership roles, announced primaries, and quotas lent between gateways.
//!
//! | file | job |
//! | --- | --- |
//! | `peers` | the datagram socket: sends what is due, dispatches what arrives |
//! | `leadership` | routes messages between the lease manager, the roles and the other gateways |
//! | `primary_discovery`, `announced_primaries` | the role that announces each group's primary |
//! | `quota_lending` | the role that lends unused quota to gateways that need it |
//! | `codec` | encoding of messages under the fleet's settings and secret |
//!
//! Owns the lease manager, the announced primaries and the quotas. Who leads and what may be lent is decided
//! in `petrelgauge_ownership`; what follows for requests, in the decisions behind the
//! [facade](crate::facade). Without any leader, or without other gateways, a gateway works by itself.
//!
//! May import: `discovery` (the host names alone), `facade`, `os`, `resources`.

mod announced_primaries;
mod codec;
pub mod leadership;
pub mod peers;
pub mod primary_discovery;
pub mod quota_lending;
