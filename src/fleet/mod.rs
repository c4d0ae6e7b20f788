//! Datagrams between the gateways of a fleet: watermark broadcasts, leases of leadership roles, announcements of
//! primaries and lending of quotas.
//!
//! What a datagram means is decided in `petrelgauge_sessions` and `petrelgauge_ownership`; this folder sends, receives
//! and applies. May import: `facade`, `discovery`, `resources`, `os`.

mod announced_primaries;
pub mod codec;
pub mod leadership;
pub mod peers;
pub mod primary_discovery;
pub mod quota_lending;
